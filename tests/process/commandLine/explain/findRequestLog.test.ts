import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { findRequestLog } from "../../../../src/process/commandLine/explain/findRequestLog.ts";
import { formatRequestLog } from "../../../../src/process/commandLine/explain/formatRequestLog.ts";

function createLine(second: number, event: string, fields: object, prefix = ""): string {
    const time = new Date(Date.UTC(2026, 0, 1, 0, 0, second)).toISOString();
    return prefix + JSON.stringify({ time, level: "info", event, message: "Something.", vm: "vm", ...fields });
}

const lines = [
    createLine(12, "FL1710", { request: "r", outcome: "answered", chain: "e1=0-4,e2=4-8" }),
    createLine(10, "FL1711", { request: "r", chain: "e3=0-4,e2=4-8", avoided: "e3", cause: "It broke." }, "node-1 | "),
    createLine(11, "FL1811", { endpoint: "e3" }),
    createLine(40, "FL1811", { endpoint: "e2" }),
    createLine(11, "FL1811", { endpoint: "e9" }),
    createLine(11, "FL1710", { request: "other", chain: "e1=0-8" }),
    "no JSON {",
    "",
];

describe("findRequestLog", () => {
    it("returns the lines about the request and its endpoints at that time, in order", () => {
        const log = findRequestLog(lines, "r");
        assert.deepEqual(log.map(({ event, isContext }) => [event, isContext]), [
            ["FL1711", false],
            ["FL1811", true],
            ["FL1710", false],
        ]);
    });

    it("returns nothing for an unknown request", () => {
        assert.deepEqual(findRequestLog(lines, "unknown"), []);
    });

    it("is printed with the time since the first line and the inputs of each decision", () => {
        const [first, second] = formatRequestLog(findRequestLog(lines, "r"));
        assert.match(first!, /^ +\+0 ms request .*FL1711 .*cause=It broke\./);
        assert.match(second!, /^ +\+1000 ms \(endpoint\) .*endpoint=e3$/);
    });
});
