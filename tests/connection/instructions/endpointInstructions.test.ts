import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EndpointInstructions } from "../../../src/connection/instructions/endpointInstructions.ts";
import { FakeClock } from "../../support/fakeClock.ts";
import { RecordingEventLog } from "../../support/recordingEventLog.ts";

function createFixture() {
    const clock = FakeClock.create();
    const paused: string[] = [];
    const instructions = EndpointInstructions.create({
        clock,
        log: RecordingEventLog.create(),
        onPause: endpointId => paused.push(endpointId),
    });
    const pause = (endpointId: string, pauseMilliseconds: number) =>
        instructions.noteAnswer({ endpointId, instructions: { isLeaving: false, pauseMilliseconds }, answerTo: "r" });
    return { clock, instructions, paused, pause };
}

describe("EndpointInstructions", () => {
    it("allows no requests to an endpoint until its pause has ended", async () => {
        const { clock, instructions, pause } = createFixture();
        pause("1", 1_000);
        assert.deepEqual([instructions.maySend("1"), instructions.maySend("2")], [false, true]);
        await clock.advance(999);
        assert.equal(instructions.maySend("1"), false);
        await clock.advance(1);
        assert.equal(instructions.maySend("1"), true);
    });

    it("keeps the pause that ends last, whichever answer came last", async () => {
        const { clock, instructions, paused, pause } = createFixture();
        pause("1", 3_000);
        await clock.advance(100);
        pause("1", 1_000);
        await clock.advance(2_800);
        assert.equal(instructions.maySend("1"), false);
        pause("1", 1_000);
        await clock.advance(900);
        assert.equal(instructions.maySend("1"), false);
        assert.deepEqual(paused, ["1", "1"]);
    });

    it("keeps the pause of an endpoint whose record is missing for a moment", async () => {
        const { clock, instructions, pause } = createFixture();
        pause("1", 1_000);
        instructions.retain(new Set());
        assert.equal(instructions.maySend("1"), false);
        await clock.advance(1_000);
        instructions.retain(new Set());
        assert.deepEqual(instructions.getStatus(), []);
    });

    it("lists the ends of pauses in order", () => {
        const { instructions, pause } = createFixture();
        pause("1", 300);
        pause("2", 100);
        pause("3", 300);
        assert.deepEqual(instructions.listPauseEnds(["1", "2", "3", "4"]), [100, 300]);
        assert.deepEqual([instructions.maySend("1", 200), instructions.maySend("2", 200)], [false, true]);
    });

    const leavingAnswer = { instructions: { isLeaving: true, pauseMilliseconds: undefined }, answerTo: "r" };

    it("allows no requests to a leaving endpoint, also while it isn't registered for a moment", async () => {
        const { clock, instructions } = createFixture();
        instructions.noteAnswer({ endpointId: "1", ...leavingAnswer });
        instructions.retain(new Set());
        await clock.advance(60_000);
        instructions.retain(new Set());
        assert.deepEqual([instructions.maySend("1"), instructions.isLeaving("1")], [false, true]);
        await clock.advance(600_000);
        instructions.retain(new Set(["1"]));
        assert.equal(instructions.maySend("1"), false);
        instructions.retain(new Set());
        assert.equal(instructions.maySend("1"), true);
    });

    it("doesn't list the pause of a leaving endpoint, since it ends at no time", () => {
        const { instructions, pause } = createFixture();
        pause("1", 1_000);
        instructions.noteAnswer({ endpointId: "1", ...leavingAnswer });
        assert.deepEqual(instructions.listPauseEnds(["1"]), []);
    });

    it("applies to the next incarnation only what was answered after its start", () => {
        const { clock, instructions } = createFixture();
        instructions.noteAnswer({ endpointId: "1", ...leavingAnswer });
        instructions.handleRestart("1", { id: "later", incarnation: clock.getWallTime() + 1 });
        instructions.handleRestart("1", { id: "sameTime", incarnation: clock.getWallTime() });
        assert.deepEqual([instructions.maySend("later"), instructions.maySend("sameTime")], [true, false]);
    });
});
