import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ConsolaEventLog } from "../../../src/process/logging/consolaEventLog.ts";
import type { LogEvent } from "../../../src/process/logging/logEvent.ts";

const started: LogEvent = { number: 1001, level: "info", message: "The node has started." };
const time = /^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z$/;

describe("ConsolaEventLog", () => {
    function createLog(isTerminal: boolean, level: LogEvent["level"] = "info") {
        const lines: string[] = [];
        const log = ConsolaEventLog.create({ level, vm: "a", isTerminal, writeLine: line => lines.push(line) });
        return { lines, log };
    }

    it("writes readable lines on a terminal", () => {
        const { lines, log } = createLog(true);
        log.write(started, { version: 7, reason: "two words\nand lines" });
        assert.match(
            lines.join("\n"),
            /Z INFO {2}FL1001 The node has started\. vm=a version=7 reason="two words\\nand lines"$/,
        );
    });

    it("writes JSON lines otherwise, in which fields cannot override the fixed parts", () => {
        const { lines, log } = createLog(false);
        log.write(started, { version: 7, vm: "b" });
        const { time: written, ...others } = JSON.parse(lines.join("\n"));
        assert.match(written, time);
        assert.deepEqual(others, {
            level: "info",
            event: "FL1001",
            message: started.message,
            vm: "a",
            version: 7,
            "field.vm": "b",
        });
    });

    it("omits events below its level and does not merge repeated events", () => {
        const { lines, log } = createLog(false, "warn");
        for (let count = 0; count < 10; count++) {
            log.write(started);
            log.write({ ...started, level: "warn" });
            log.write({ ...started, level: "error" });
        }
        assert.equal(lines.length, 20);
    });
});
