import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { NewConnectionDecider } from "../../../src/process/overload/newConnectionDecider.ts";

const turnMilliseconds = 10;
const turnsUntilClosing = 30;

/** Accepts a connection in each of a number of turns. Returns the time of the next turn. */
function acceptInTurns(decider: NewConnectionDecider, turns: number, from = 0): number {
    for (let turn = 0; turn < turns; turn++) {
        decider.noteConnection(from + turn * turnMilliseconds);
        assert.ok(decider.noteTurnEnd());
    }
    return from + turns * turnMilliseconds;
}

describe("NewConnectionDecider", () => {
    it("closes connections from the time on for which each turn has accepted one, if peers can take them", () => {
        const decider = NewConnectionDecider.create();
        const now = acceptInTurns(decider, turnsUntilClosing);
        assert.ok(!decider.closesNext(now - 1, () => true));
        assert.ok(decider.closesNext(now, () => true));
        assert.ok(!decider.closesNext(now, () => false));
    });

    it("closes none once a turn has accepted none, and none of many that come one by one", () => {
        const decider = NewConnectionDecider.create();
        let now = 0;
        for (let count = 0; count < 10; count++) {
            now = acceptInTurns(decider, turnsUntilClosing, now);
            assert.ok(!decider.noteTurnEnd());
            assert.equal(decider.getQueueTime(now), 0);
            assert.ok(!decider.closesNext(now, () => true));
        }
    });
});
