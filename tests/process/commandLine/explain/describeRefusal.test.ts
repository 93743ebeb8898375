import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { describeRefusal } from "../../../../src/process/commandLine/explain/describeRefusal.ts";
import { findRequestLog } from "../../../../src/process/commandLine/explain/findRequestLog.ts";

function describeLine(event: string, fields: object) {
    const line = JSON.stringify({
        time: "2026-01-01T00:00:00.000Z",
        event,
        message: "",
        vm: "vm",
        request: "r",
        ...fields,
    });
    return describeRefusal(findRequestLog([line], "r"));
}

describe("describeRefusal", () => {
    // Guards against a refused request of which only the general cause is told.
    it("names the bound, the rank and the retry delay", () => {
        const refusal = { rank: 2, retryAfterMilliseconds: 700 };
        const describeBound = (bound: string) => describeLine("FL1716", { ...refusal, bound });
        assert.match(
            describeBound("reserve")!,
            /^Refused \(rank 2, bound reserve, retry after 700 ms\): Its rank left memory free/,
        );
        assert.match(describeBound("link")!, /bound link, .*A link between data centres/);
        assert.match(describeBound("capacity")!, /bound capacity, .*no free memory/);
    });

    it("says nothing of other requests, and of logs that don't name the bound", () => {
        assert.equal(describeLine("FL1710", { outcome: "answered" }), undefined);
        assert.equal(describeLine("FL1716", { cause: "no chain of endpoints has free capacity." }), undefined);
    });
});
