import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { events } from "../../../../src/process/logging/events.ts";
import { RequestQuarantine } from "../../../../src/request/relay/quarantine/requestQuarantine.ts";
import { RecordingEventLog } from "../../../support/recordingEventLog.ts";

const harmful = "pbad";
const popular = "pa1";
const settled = 1_000;

function createNode() {
    const log = RecordingEventLog.create();
    const aliveTimes = new Map<string, number>();
    const calls = { crashes: 0, held: 0, cleared: 0 };
    const quarantine = RequestQuarantine.create({
        log,
        getAliveTime: endpointId => aliveTimes.get(endpointId) ?? -Infinity,
        onCrash: isHeldBack => {
            calls.crashes += 1;
            calls.held += Number(isHeldBack);
        },
        onCleared: () => calls.cleared += 1,
    });
    let count = 0;
    const crash = (endpointId: string, at: number, partKeys: readonly string[], canaryKeys: readonly string[] = []) => {
        count += 1;
        quarantine.noteCrash(
            { fingerprint: `f${count}`, endpointId, at, isDown: true, partKeys, canaryKeys },
            "request",
        );
    };
    const getHeld = (parts: readonly string[], now: number) => quarantine.getPartHold(parts, now)?.parts ?? [];
    return { quarantine, crash, getHeld, log, aliveTimes, calls };
}

type Node = ReturnType<typeof createNode>;

function exchange(from: Node, to: Node, now: number): void {
    for (const crash of from.quarantine.getCrashes(now)) {
        to.quarantine.addPeerCrash(crash, now);
    }
    for (const { key, at } of from.quarantine.getAnsweredParts(now)) {
        to.quarantine.applyAnsweredPart(key, at, now);
    }
}

describe("RequestQuarantine with parts of prompts", () => {
    it("holds back the one part that requests of two crashes have in common, for a short time", () => {
        const { crash, getHeld, quarantine, calls } = createNode();
        crash("1", 0, ["p1", harmful]);
        assert.deepEqual(getHeld([harmful], 1), []);
        crash("2", 10, ["p2", harmful]);
        assert.deepEqual(getHeld(["p1", "p2", harmful], 11), [harmful]);
        const hold = quarantine.getPartHold([harmful], 11)!;
        assert.ok(!hold.isCertain && hold.remainingMilliseconds <= 1_000);
        assert.deepEqual(calls, { crashes: 2, held: 1, cleared: 0 });
    });

    it("holds it back for ten minutes once a canary has crashed an endpoint, and sends no more canaries", () => {
        const { crash, quarantine } = createNode();
        crash("1", 0, [harmful]);
        crash("2", 0, [harmful]);
        assert.ok(quarantine.takeCanary(quarantine.getPartHold([harmful], 10)!, 10) !== undefined);
        crash("3", 100, [popular, harmful], [harmful]);
        const hold = quarantine.getPartHold([popular, harmful], 101)!;
        assert.deepEqual([hold.isCertain, hold.parts], [true, [harmful]]);
        assert.equal(hold.remainingMilliseconds, 599_999);
        assert.equal(quarantine.getPartHold([harmful], 601_000), undefined);
    });

    it("allows a part again that an endpoint has answered since its crashes, and tells peers at once", () => {
        const { crash, getHeld, quarantine, calls, log } = createNode();
        crash("1", 0, [popular]);
        crash("2", 0, [popular]);
        quarantine.markPartsAnswered([popular], 300, 600);
        assert.deepEqual(getHeld([popular], 601), []);
        assert.equal(calls.cleared, 1);
        assert.deepEqual(quarantine.getAnsweredParts(700), [{ key: popular, at: 300 }]);
        assert.equal(log.numbers.at(-1), events.promptPartCleared.number);
    });

    it("holds back a part that becomes harmful after it was answered, if its answers end", () => {
        const { crash, getHeld, quarantine } = createNode();
        quarantine.markPartsAnswered([popular, harmful], 0, 250);
        for (const endpointId of ["1", "2", "3"]) {
            crash(endpointId, 300, [popular, harmful]);
        }
        quarantine.markPartsAnswered([popular], 400, 650);
        assert.deepEqual(getHeld([popular, harmful], 300 + settled), [harmful]);
    });

    it("doesn't hold back a popular part because a harmful one always comes with it", () => {
        const { crash, getHeld, quarantine } = createNode();
        quarantine.markPartsAnswered([popular], 0, 250);
        for (const endpointId of ["1", "2", "3", "4", "5"]) {
            crash(endpointId, 300, [popular, harmful]);
        }
        assert.deepEqual(getHeld([popular, harmful], 300 + settled), [harmful]);
    });

    it("convicts a new part by a canary, not the answered ones that were held back with it", () => {
        const { crash, quarantine } = createNode();
        quarantine.markPartsAnswered([popular], 0, 250);
        crash("8", 300, [popular]);
        crash("9", 300, [popular]);
        crash("1", 300, [harmful]);
        crash("2", 300, [harmful]);
        const both = [popular, harmful];
        assert.deepEqual(quarantine.getPartHold(both, 300 + settled)?.parts, both);
        crash("3", 300 + settled, both, both);
        assert.equal(quarantine.getPartHold([harmful], 400 + settled)?.isCertain, true);
        assert.equal(quarantine.getPartHold([popular], 400 + settled)?.isCertain, false);
    });

    it("drops the crash of an endpoint that is alive, unless it has restarted", () => {
        const { crash, getHeld, quarantine, aliveTimes } = createNode();
        crash("1", 0, [harmful]);
        crash("2", 0, [harmful]);
        aliveTimes.set("2", 700);
        assert.deepEqual(getHeld([harmful], 710), []);
        crash("3", 800, [harmful]);
        quarantine.noteRestart("3", 900);
        aliveTimes.set("3", 2_000);
        assert.deepEqual(getHeld([harmful], 2_010), [harmful]);
    });

    it("joins what nodes see: crashes, canaries, and answers of before and after", () => {
        const [first, second, third] = [createNode(), createNode(), createNode()];
        first.quarantine.markPartsAnswered([popular], 0, 250);
        first.crash("1", 300, [popular, harmful]);
        second.crash("2", 310, [popular, harmful]);
        exchange(second, first, 320);
        exchange(first, second, 330);
        exchange(first, third, 340);
        for (const { getHeld } of [first, second, third]) {
            assert.deepEqual(getHeld([popular, harmful], 350), [harmful]);
        }
        third.crash("3", 400, [harmful], [harmful]);
        exchange(third, first, 410);
        exchange(first, second, 420);
        assert.equal(second.quarantine.getPartHold([harmful], 430)?.isCertain, true);
    });

    it("allows a part again where a peer has answered it, however often it seemed to crash endpoints", () => {
        const [first, second] = [createNode(), createNode()];
        for (const endpointId of ["1", "2", "3", "4"]) {
            second.crash(endpointId, 0, [popular]);
        }
        exchange(second, first, 10);
        first.quarantine.markPartsAnswered([popular], 100, 350);
        assert.deepEqual(second.getHeld([popular], 355), [popular]);
        exchange(first, second, 360);
        assert.deepEqual(second.getHeld([popular], 370), []);
    });

    it("lists the most suspect first, and a bounded number of crashes", () => {
        const { crash, quarantine } = createNode();
        for (let index = 0; index < 300; index++) {
            crash(`other${index}`, 0, [`p${index}`]);
        }
        for (let index = 0; index < 30; index++) {
            crash(`e${index}`, 100, [harmful], index === 5 ? [harmful] : []);
        }
        const crashes = quarantine.getCrashes(200);
        assert.ok(crashes.length <= 101);
        const ofHarmful = crashes.filter(({ fingerprint }) => fingerprint === harmful);
        assert.equal(ofHarmful.length, 8);
        assert.deepEqual(ofHarmful[0], {
            fingerprint: harmful,
            endpointId: "e5",
            at: 100,
            isDown: true,
            isCanary: true,
        });
        assert.deepEqual(crashes.slice(0, 8), ofHarmful);
    });

    it("lists crashes for peers in little processor time, also after hundreds of requests were on endpoints that crashed", () => {
        const maximumMilliseconds = 30;
        const { crash, quarantine } = createNode();
        for (let index = 0; index < 1_000; index++) {
            crash(`e${index % 20}`, 0, []);
        }
        const times = [6_000, 6_300, 6_600].map(now => {
            const start = process.cpuUsage();
            quarantine.getCrashes(now);
            const { user, system } = process.cpuUsage(start);
            return (user + system) / 1_000;
        });
        assert.ok(Math.min(...times) < maximumMilliseconds, `${times.join(", ")} ms`);
    });

    it("doesn't hold a part back because peers repeat, after a delay, crashes from before its answer", () => {
        const delayMilliseconds = 60;
        const exchangeLate = (from: Node, to: Node, sentAt: number) => {
            const now = sentAt + delayMilliseconds;
            for (const crash of from.quarantine.getCrashes(sentAt)) {
                to.quarantine.addPeerCrash({ ...crash, at: crash.at + delayMilliseconds }, now);
            }
            for (const { key, at } of from.quarantine.getAnsweredParts(sentAt)) {
                to.quarantine.applyAnsweredPart(key, at + delayMilliseconds, now);
            }
        };
        const [first, second] = [createNode(), createNode()];
        first.crash("1", 0, [popular]);
        first.crash("2", 0, [popular]);
        exchangeLate(first, second, 0);
        first.quarantine.markPartsAnswered([popular], 30, 280);
        for (let sentAt = 300; sentAt < 1_500; sentAt += 300) {
            exchangeLate(second, first, sentAt);
            exchangeLate(first, second, sentAt + 100);
        }
        assert.deepEqual([first, second].map(({ getHeld }) => getHeld([popular], 1_600)), [[], []]);
    });

    it("announces and stores a part that is certain before others, however many endpoints crashed under them", () => {
        const { crash, quarantine } = createNode();
        crash("1", 0, [harmful]);
        crash("2", 0, [harmful]);
        crash("3", 100, [harmful], [harmful]);
        const others = Array.from({ length: 20 }, (_, index) => `p${index}`);
        for (let index = 0; index < 10; index++) {
            crash(`lost${index}`, 1_000, others);
        }
        for (const crashes of [quarantine.getCrashes(1_100), quarantine.getHeldCrashes(1_100)]) {
            assert.ok(crashes.some(({ fingerprint, isCanary }) => fingerprint === harmful && isCanary));
        }
    });

    it("keeps a part that is certain when many harmless requests were on endpoints that crashed", () => {
        const { crash, quarantine } = createNode();
        crash("1", 0, [harmful]);
        crash("2", 0, [harmful]);
        crash("3", 100, [harmful], [harmful]);
        for (let index = 0; index < 600; index++) {
            crash(`lost${index % 12}`, 1_000, [`p${index}`]);
        }
        assert.equal(quarantine.getPartHold([harmful], 1_100)?.isCertain, true);
    });
});
