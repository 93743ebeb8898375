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

    /** Simulates one poll of the connections by the event loop. */
    function poll(): void {
        for (const callback of scheduled.splice(0)) {
            callback();
        }
    }

    const defer = (name: string, milliseconds = 0) =>
        barrier.defer(() => {
            now += milliseconds;
            ran.push(name);
        });

    it("runs actions in order after the event loop has polled its connections twice", () => {
        defer("first");
        defer("second");
        poll();
        assert.deepEqual(ran, []);
        poll();
        assert.deepEqual(ran, ["first", "second"]);
        assert.equal(scheduled.length, 0);
    });

    it("makes each action wait for two polls after it was added", () => {
        defer("first");
        poll();
        defer("second");
        poll();
        assert.deepEqual(ran, ["first"]);
        poll();
        assert.deepEqual(ran, ["first", "second"]);
    });

    it("runs no cancelled action, even if an earlier action cancelled it", () => {
        defer("first").cancel();
        let third = { cancel: (): void => undefined };
        barrier.defer(() => third.cancel());
        third = defer("third");
        defer("fourth");
        poll();
        poll();
        assert.deepEqual(ran, ["fourth"]);
    });

    it("polls the connections again between long actions", () => {
        defer("first", 30);
        const second = defer("second", 30);
        defer("third");
        poll();
        poll();
        assert.deepEqual(ran, ["first"]);
        second.cancel();
        poll();
        assert.deepEqual(ran, ["first", "third"]);
    });

    it("keeps the order of actions that were requeued", () => {
        defer("first", 30);
        defer("second");
        poll();
        defer("third");
        poll();
        poll();
        poll();
        assert.deepEqual(ran, ["first", "second", "third"]);
    });
});
