import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { formatTraceparent } from "../../../src/process/tracing/formatTraceparent.ts";
import { parseTraceparent } from "../../../src/process/tracing/parseTraceparent.ts";

const traceId = "0af7651916cd43dd8448eb211c80319c";
const spanId = "b7ad6b7169203331";

describe("parseTraceparent", () => {
    it("parses what formatTraceparent formats", () => {
        for (const sampled of [true, false]) {
            const context = { traceId, spanId, sampled };
            assert.deepEqual(parseTraceparent(formatTraceparent(context)), context);
        }
    });

    it("accepts additional parts and flags of later versions", () => {
        const context = { traceId, spanId, sampled: true };
        assert.deepEqual(parseTraceparent(`01-${traceId}-${spanId}-03-more`), context);
    });

    const malformed = [
        undefined,
        "",
        `00-${traceId}-${spanId}`,
        `00-${traceId}-${spanId}-01-more`,
        `00-${traceId.toUpperCase()}-${spanId}-01`,
        `00-${"0".repeat(32)}-${spanId}-01`,
        `00-${traceId}-${"0".repeat(16)}-01`,
        `ff-${traceId}-${spanId}-01`,
        ` 00-${traceId}-${spanId}-01`,
    ];
    for (const header of malformed) {
        it(`rejects ${header}`, () => {
            assert.equal(parseTraceparent(header), undefined);
        });
    }
});
