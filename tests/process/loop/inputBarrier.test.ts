import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { InputBarrier } from "../../../src/process/loop/inputBarrier.ts";

describe("InputBarrier", () => {
    let now: number;
    let scheduled: (() => void)[];
    let ran: string[];
    let barrier: InputBarrier;

    beforeEach(() => {
        now = 0;
        scheduled = [];
        ran = [];
        barrier = InputBarrier.create({ schedule: callback => scheduled.push(callback), getTime: () => now });
    });

    /** Has the loop look at its connections once. */
    function look(): void {
        for (const callback of scheduled.splice(0)) {
            callback();
        }
    }

    const pass = (name: string, milliseconds = 0) =>
        barrier.pass(() => {
            now += milliseconds;
            ran.push(name);
        });

    it("runs actions in order once the loop has looked at its connections twice", () => {
        pass("first");
        pass("second");
        look();
        assert.deepEqual(ran, []);
        look();
        assert.deepEqual(ran, ["first", "second"]);
        assert.equal(scheduled.length, 0);
    });

    it("has each action wait for two looks of its own", () => {
        pass("first");
        look();
        pass("second");
        look();
        assert.deepEqual(ran, ["first"]);
        look();
        assert.deepEqual(ran, ["first", "second"]);
    });

    it("runs none that is cancelled, also by one that runs before it", () => {
        pass("first").cancel();
        let third = { cancel: (): void => undefined };
        barrier.pass(() => third.cancel());
        third = pass("third");
        pass("fourth");
        look();
        look();
        assert.deepEqual(ran, ["fourth"]);
    });

    it("looks at the connections again between actions that take long", () => {
        pass("first", 30);
        const second = pass("second", 30);
        pass("third");
        look();
        look();
        assert.deepEqual(ran, ["first"]);
        second.cancel();
        look();
        assert.deepEqual(ran, ["first", "third"]);
    });

    it("keeps the order where some had to wait for others", () => {
        pass("first", 30);
        pass("second");
        look();
        pass("third");
        look();
        look();
        look();
        assert.deepEqual(ran, ["first", "second", "third"]);
    });
});
