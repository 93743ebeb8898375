import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { accountRequests } from "../../../scripts/account/accountRequests.ts";
import { drawWindows } from "../../../scripts/account/drawWindows.ts";
import { parseRequestEnd } from "../../../scripts/account/parseRequestEnd.ts";

const objectives = { firstMilliseconds: 500, gapMilliseconds: 250 };

function createLine(changes: object): string {
    return `12.5 vm-1 ${
        JSON.stringify({
            time: "2026-01-01T00:00:10.000Z",
            event: "FL1710",
            route: "r",
            outcome: "answered",
            cause: "",
            milliseconds: 2_000,
            firstEventMilliseconds: 100,
            longestGapMilliseconds: 90,
            ...changes,
        })
    }`;
}

function getReason(changes: object): string | undefined {
    return parseRequestEnd(createLine(changes), objectives)?.reason;
}

describe("parseRequestEnd", () => {
    it("parses the time of arrival and whether the request was answered in time", () => {
        const end = parseRequestEnd(createLine({}), objectives);
        assert.deepEqual(end, { arrivedAt: Date.parse("2026-01-01T00:00:08.000Z"), route: "r", reason: "inTime" });
    });

    it("gives the reason why a response was late or missing", () => {
        assert.equal(getReason({ firstEventMilliseconds: 501 }), "late: its beginning");
        assert.equal(getReason({ longestGapMilliseconds: 251, reroutes: 1 }), "late: a pause, moved");
        assert.equal(getReason({ outcome: "callerGone" }), "callerGone");
        assert.equal(getReason({ outcome: "cut", cause: "why" }), "cut: why");
    });

    it("ignores other lines and truncated ones", () => {
        assert.equal(parseRequestEnd(createLine({ event: "FL1711" }), objectives), undefined);
        assert.equal(parseRequestEnd(createLine({}).slice(0, -5), objectives), undefined);
        assert.equal(parseRequestEnd("no log", objectives), undefined);
    });
});

describe("accountRequests", () => {
    const ends = [
        { arrivedAt: 5_000, route: "r", reason: "inTime" },
        { arrivedAt: 1_000, route: "r", reason: "callerGone" },
        { arrivedAt: 2_900, route: "r", reason: "inTime" },
    ];

    it("groups requests by time of arrival since the first request", () => {
        assert.deepEqual(accountRequests(ends, 2), [
            { from: 0, asked: 2, inTime: 1, lost: [["callerGone", 1]] },
            { from: 4, asked: 1, inTime: 1, lost: [] },
        ]);
        assert.equal(accountRequests(ends, Infinity).length, 1);
    });

    it("is drawn with a bar for each window", () => {
        assert.equal(drawWindows(accountRequests(ends, 2)).match(/<rect/g)?.length, 4);
    });
});
