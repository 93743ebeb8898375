import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EndpointLimits } from "../../../../src/request/relay/limits/endpointLimits.ts";

describe("EndpointLimits", () => {
    function create() {
        const lines: unknown[] = [];
        const limits = EndpointLimits.create({ write: (_event, fields) => lines.push(fields) });
        return { lines, limits };
    }

    it("tells when an endpoint begins, changes and ceases to name a limit, and not between", () => {
        const { lines, limits } = create();
        for (const rate of [undefined, 2, 2, 3.5, undefined, undefined]) {
            limits.noteAnswer("x", rate, 0);
        }
        const line = { endpoint: "x", source: "answer" };
        assert.deepEqual(lines, [
            { ...line, isLimited: true, requestsPerSecond: 2, before: 0 },
            { ...line, isLimited: true, requestsPerSecond: 3.5, before: 2 },
            { ...line, isLimited: false, requestsPerSecond: 0, before: 3.5 },
        ]);
    });

    it("forgets endpoints that are gone", () => {
        const { lines, limits } = create();
        limits.noteAnswer("x", 2, 0);
        limits.retain(new Set(["y"]));
        limits.noteAnswer("x", undefined, 0);
        assert.equal(lines.length, 1);
    });
});
