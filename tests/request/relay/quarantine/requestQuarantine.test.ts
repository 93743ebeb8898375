import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { events } from "../../../../src/process/logging/events.ts";
import { RequestQuarantine } from "../../../../src/request/relay/quarantine/requestQuarantine.ts";
import { RecordingEventLog } from "../../../support/recordingEventLog.ts";

const minute = 60_000;

function createBench() {
    const log = RecordingEventLog.create();
    const aliveTimes = new Map<string, number>();
    let heldCount = 0;
    const quarantine = RequestQuarantine.create({
        log,
        getAliveTime: endpointId => aliveTimes.get(endpointId) ?? -Infinity,
        onCrash: isHeldBack => heldCount += Number(isHeldBack),
    });
    const crash = (fingerprint: string, endpointId: string, at: number) =>
        quarantine.noteCrash({ fingerprint, endpointId, at }, "request");
    return { quarantine, crash, log, aliveTimes, getHeld: () => heldCount };
}

describe("RequestQuarantine", () => {
    it("holds a request back for a minute after two endpoints crashed, and announces it immediately", () => {
        const { quarantine, crash, getHeld } = createBench();
        crash("harmful", "1", 0);
        assert.equal(quarantine.getHold("harmful", 1), undefined);
        assert.equal(getHeld(), 0);
        crash("harmful", "2", 1_000);
        const hold = { endpointIds: ["1", "2"], remainingMilliseconds: minute - 1 };
        assert.deepEqual(quarantine.getHold("harmful", 1_001), hold);
        assert.equal(getHeld(), 1);
        assert.equal(quarantine.getHold("other", 1_001), undefined);
        assert.equal(quarantine.getHold("harmful", minute + 1_001), undefined);
    });

    it("holds it back for ten minutes after a third crash", () => {
        const { quarantine, crash } = createBench();
        crash("harmful", "1", 0);
        crash("harmful", "2", 0);
        crash("harmful", "3", 2 * minute);
        assert.equal(quarantine.getHold("harmful", 3 * minute)?.remainingMilliseconds, 9 * minute);
    });

    // Guards against refusing a harmless request for a minute that was on the same endpoints as a harmful one.
    it("does not hold back a request if one that crashed a third endpoint too explains its crashes", () => {
        const { quarantine, crash } = createBench();
        for (const endpointId of ["1", "2"]) {
            crash("harmful", endpointId, 0);
            crash("harmless", endpointId, 0);
        }
        crash("elsewhere", "2", 0);
        crash("elsewhere", "4", 0);
        assert.ok(quarantine.getHold("harmless", 1) !== undefined, "Either of two requests may be the cause.");
        crash("harmful", "3", 2);
        assert.equal(quarantine.getHold("harmless", 3), undefined);
        assert.ok(quarantine.getHold("harmful", 3) !== undefined);
        assert.ok(quarantine.getHold("elsewhere", 3) !== undefined, "One of its crashes is not explained.");
        const held = quarantine.getHeldCrashes(3).map(({ fingerprint }) => fingerprint);
        assert.deepEqual(new Set(held), new Set(["harmful", "elsewhere"]));
    });

    it("holds it back again if it crashes an endpoint without the other request", () => {
        const { quarantine, crash } = createBench();
        for (const endpointId of ["1", "2", "3"]) {
            crash("harmful", endpointId, 0);
        }
        for (const endpointId of ["1", "2"]) {
            crash("variant", endpointId, 0);
        }
        assert.equal(quarantine.getHold("variant", 1), undefined);
        crash("variant", "4", 2);
        assert.equal(quarantine.getHold("variant", 2)?.remainingMilliseconds, 10 * minute);
    });

    it("counts an endpoint once, and does not count one that is still alive", () => {
        const { quarantine, crash, aliveTimes } = createBench();
        crash("r", "1", 0);
        crash("r", "1", 20);
        assert.equal(quarantine.getHold("r", 30), undefined);
        crash("r", "2", 30);
        aliveTimes.set("2", 400);
        assert.ok(quarantine.getHold("r", 410) !== undefined, "What was read late is no sign of life.");
        aliveTimes.set("2", 700);
        assert.equal(quarantine.getHold("r", 710), undefined);
    });

    it("never suspects a request that an endpoint has run without crashing", () => {
        const { quarantine, crash } = createBench();
        crash("r", "1", 0);
        quarantine.markSafe("r");
        crash("r", "2", 1);
        crash("r", "3", 2);
        quarantine.addPeerCrash({ fingerprint: "r", endpointId: "4", at: 3 }, 3);
        assert.equal(quarantine.getHold("r", 4), undefined);
        assert.deepEqual(quarantine.getCrashes(4), []);
    });

    it("counts crashes reported by different nodes", () => {
        const first = createBench();
        const second = createBench();
        first.crash("harmful", "1", 0);
        for (const run of first.quarantine.getCrashes(100)) {
            second.quarantine.addPeerCrash(run, 100);
        }
        second.crash("harmful", "2", 200);
        assert.ok(second.quarantine.getHold("harmful", 201) !== undefined);
    });

    // Guards against refusing a harmless request because several endpoints crashed together just before it arrived.
    it("counts sudden crashes that may be a coincidence with other ones only once, also those of peers", () => {
        const plays: [at: number, isSudden: boolean, isHeld: boolean][][] = [
            [[0, true, false], [400, true, false], [499, true, false], [500, true, true]],
            [[0, true, false], [20, true, false], [40, true, false]],
            [[0, false, false], [499, true, false], [500, true, true]],
            [[0, true, false], [499, false, false], [500, false, true]],
        ];
        for (const play of plays) {
            const own = createBench().quarantine;
            const ofPeer = createBench().quarantine;
            for (const [index, [at, isSudden, isHeld]] of play.entries()) {
                own.noteCrash({ fingerprint: "r", endpointId: String(index), at, isSudden }, "request");
                for (const crash of own.getCrashes(at)) {
                    ofPeer.addPeerCrash(crash, at);
                }
                assert.equal(own.getHold("r", at) !== undefined, isHeld, `at ${at} ms`);
                assert.equal(ofPeer.getHold("r", at) !== undefined, isHeld, `at ${at} ms for the peer`);
            }
        }
    });

    // Guards against a request that crashes all endpoints, one after the other, before half a second has passed.
    it("counts the fourth of several sudden crashes, which are no coincidence", () => {
        const { quarantine } = createBench();
        for (const [index, at] of [0, 20, 40, 60].entries()) {
            assert.equal(quarantine.getHold("r", at), undefined);
            quarantine.noteCrash({ fingerprint: "r", endpointId: String(index), at, isSudden: true }, "request");
        }
        assert.deepEqual(quarantine.getHold("r", 61)?.endpointIds, ["0", "3"]);
    });

    // Guards against a part of a prompt that crashes endpoints as it arrives, and was never held back.
    it("holds back a part under which endpoints crash suddenly at different times", () => {
        const { quarantine } = createBench();
        for (const [index, at] of [0, 600].entries()) {
            const crash = { fingerprint: `r${index}`, endpointId: String(index), at, isDown: true, isSudden: true };
            quarantine.noteCrash({ ...crash, partKeys: ["pharmful"] }, "request");
        }
        assert.equal(quarantine.getPartHold(["pother"], 601), undefined);
        assert.deepEqual(quarantine.getPartHold(["pharmful"], 601)?.endpointIds, ["0", "1"]);
    });

    // A harmless request that was on two endpoints with a harmful one was held back at each node that had not run it.
    it("clears a suspect request that an endpoint has run for a peer, unless it has certainly crashed endpoints", () => {
        const safe = createBench();
        const suspicious = createBench();
        safe.quarantine.markSafe("r");
        for (const endpointId of ["1", "2"]) {
            suspicious.crash("r", endpointId, 0);
        }
        for (const run of suspicious.quarantine.getCrashes(100)) {
            safe.quarantine.addPeerCrash(run, 100);
        }
        assert.deepEqual(safe.quarantine.getRefutations(200), ["r"]);
        assert.deepEqual(safe.quarantine.getRefutations(6_000), []);
        suspicious.quarantine.applyRefutation("r", 300);
        assert.equal(suspicious.quarantine.getHold("r", 300), undefined);
        for (const endpointId of ["1", "2", "3"]) {
            suspicious.crash("certain", endpointId, 0);
        }
        suspicious.quarantine.applyRefutation("certain", 300);
        assert.ok(suspicious.quarantine.getHold("certain", 300) !== undefined);
    });

    it("announces single crashes for a few seconds, and those of held-back requests for as long as they are held back", () => {
        const { quarantine, crash } = createBench();
        for (const fingerprint of ["a", "b", "c"]) {
            crash(fingerprint, "1", 0);
        }
        crash("b", "2", 0);
        assert.equal(quarantine.getCrashes(10).length, 4);
        assert.deepEqual(quarantine.getCrashes(6_000).map(({ fingerprint }) => fingerprint), ["b", "b"]);
        assert.deepEqual(quarantine.getCrashes(2 * minute), []);
    });

    it("logs the crashes that this node detects", () => {
        const { crash, log } = createBench();
        crash("r", "1", 0);
        assert.deepEqual(log.numbers, [events.endpointCrashSuspected.number]);
    });
});
