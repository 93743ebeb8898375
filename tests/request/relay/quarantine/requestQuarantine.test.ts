import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { events } from "../../../../src/process/logging/events.ts";
import { RequestQuarantine } from "../../../../src/request/relay/quarantine/requestQuarantine.ts";
import { RecordingEventLog } from "../../../support/recordingEventLog.ts";

const minute = 60_000;

function createBench() {
    const log = RecordingEventLog.create();
    const aliveTimes = new Map<string, number>();
    let held = 0;
    const quarantine = RequestQuarantine.create({
        log,
        getAliveTime: endpointId => aliveTimes.get(endpointId) ?? -Infinity,
        onEnded: isHeldBack => held += Number(isHeldBack),
    });
    const end = (fingerprint: string, endpointId: string, at: number) =>
        quarantine.noteEnded({ fingerprint, endpointId, at }, "request");
    return { quarantine, end, log, aliveTimes, getHeld: () => held };
}

describe("RequestQuarantine", () => {
    it("holds a request back for a minute once two endpoints have ended under it, and tells so at once", () => {
        const { quarantine, end, getHeld } = createBench();
        end("harmful", "1", 0);
        assert.equal(quarantine.getHold("harmful", 1), undefined);
        assert.equal(getHeld(), 0);
        end("harmful", "2", 1_000);
        const hold = { endpointIds: ["1", "2"], remainingMilliseconds: minute - 1 };
        assert.deepEqual(quarantine.getHold("harmful", 1_001), hold);
        assert.equal(getHeld(), 1);
        assert.equal(quarantine.getHold("other", 1_001), undefined);
        assert.equal(quarantine.getHold("harmful", minute + 1_001), undefined);
    });

    it("holds it back for ten minutes after a third", () => {
        const { quarantine, end } = createBench();
        end("harmful", "1", 0);
        end("harmful", "2", 0);
        end("harmful", "3", 2 * minute);
        assert.equal(quarantine.getHold("harmful", 3 * minute)?.remainingMilliseconds, 9 * minute);
    });

    it("counts an endpoint once, and one that lives on not at all", () => {
        const { quarantine, end, aliveTimes } = createBench();
        end("r", "1", 0);
        end("r", "1", 20);
        assert.equal(quarantine.getHold("r", 30), undefined);
        end("r", "2", 30);
        aliveTimes.set("2", 400);
        assert.ok(quarantine.getHold("r", 410) !== undefined, "What was read late is no sign of life.");
        aliveTimes.set("2", 700);
        assert.equal(quarantine.getHold("r", 710), undefined);
    });

    it("never suspects a request that an endpoint has run and outlived", () => {
        const { quarantine, end } = createBench();
        end("r", "1", 0);
        quarantine.noteServed("r");
        end("r", "2", 1);
        end("r", "3", 2);
        quarantine.takeRun({ fingerprint: "r", endpointId: "4", at: 3 });
        assert.equal(quarantine.getHold("r", 4), undefined);
        assert.deepEqual(quarantine.getRuns(4), []);
    });

    it("counts what different nodes have seen", () => {
        const first = createBench();
        const second = createBench();
        first.end("harmful", "1", 0);
        for (const run of first.quarantine.getRuns(100)) {
            second.quarantine.takeRun(run);
        }
        second.end("harmful", "2", 200);
        assert.ok(second.quarantine.getHold("harmful", 201) !== undefined);
    });

    it("tells of single suspicions for some seconds, and of requests that are held back as long as they are", () => {
        const { quarantine, end } = createBench();
        for (const fingerprint of ["a", "b", "c"]) {
            end(fingerprint, "1", 0);
        }
        end("b", "2", 0);
        assert.equal(quarantine.getRuns(10).length, 4);
        assert.deepEqual(quarantine.getRuns(6_000).map(({ fingerprint }) => fingerprint), ["b", "b"]);
        assert.deepEqual(quarantine.getRuns(2 * minute), []);
    });

    it("logs what it learns first-hand", () => {
        const { end, log } = createBench();
        end("r", "1", 0);
        assert.deepEqual(log.numbers, [events.endpointEndedUnderRequest.number]);
    });
});
