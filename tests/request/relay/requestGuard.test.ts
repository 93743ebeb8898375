import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { describe, it } from "node:test";
import { InvariantError } from "../../../src/process/invariantError.ts";
import { events } from "../../../src/process/logging/events.ts";
import { RequestGuard } from "../../../src/request/relay/requestGuard.ts";
import { RecordingEventLog } from "../../support/recordingEventLog.ts";

describe("RequestGuard", () => {
    it("logs an error with the id of its request and ends the request", () => {
        const log = RecordingEventLog.create();
        const causes: string[] = [];
        const guard = RequestGuard.create({ log, requestId: "r", end: cause => causes.push(cause) });
        assert.equal(guard.run(() => 5), 5);
        guard.run(() => {
            throw new Error("first");
        });
        guard.run(() => {
            throw InvariantError.create("tiling", "second");
        });
        assert.equal(causes.length, 2);
        assert.deepEqual(log.numbers, [events.requestCrashed.number, events.invariantViolated.number]);
        assert.deepEqual(log.fields.map(fields => fields?.["request"]), ["r", "r"]);
        assert.match(String(log.fields[0]?.["message"]), /first[^]*requestGuard\.test/);
    });

    it("doesn't hide an error of the end, after which the state that requests share may be half changed", () => {
        const end = () => {
            throw new Error("end");
        };
        const guard = RequestGuard.create({ log: RecordingEventLog.create(), requestId: "r", end });
        const run = () =>
            guard.run(() => {
                throw new Error("callback");
            });
        assert.throws(run, /end/);
    });
});

describe("logFatalErrors", () => {
    it("logs an error outside the callbacks of a request, and the process ends", () => {
        const source = `
            import { logFatalErrors } from "./src/process/logging/logFatalErrors.ts";
            logFatalErrors({ write: ({ number }, { stack }) => console.log(number, stack) });
            setImmediate(() => { throw new Error("shared state"); });
            setTimeout(() => console.log("still here"), 500);`;
        const root = new URL("../../..", import.meta.url);
        const child = spawnSync(process.execPath, ["--input-type=module", "-e", source], {
            cwd: root,
            encoding: "utf8",
        });
        assert.equal(child.status, 1);
        assert.match(child.stdout, /^1011 Error: shared state/);
        assert.doesNotMatch(child.stdout, /still here/);
    });
});
