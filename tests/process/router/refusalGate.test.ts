import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RefusalGate } from "../../../src/process/router/refusalGate.ts";
import { FakeClock } from "../../support/fakeClock.ts";

describe("RefusalGate", () => {
    function createFixture() {
        const clock = FakeClock.create();
        const state = { isCurrent: false, isWithoutStore: false, calls: 0 };
        const decisions: boolean[] = [];
        const gate = RefusalGate.create({
            clock,
            isCopyCurrent: () => state.isCurrent,
            isWithoutStore: () => state.isWithoutStore,
            confirmCopy: () => {
                state.calls += 1;
            },
        });
        const wait = (milliseconds = 5_000) => gate.wait(milliseconds, isProven => decisions.push(isProven));
        return { clock, state, decisions, gate, wait };
    }

    it("lets all requests go on once the copy is proven", async () => {
        const { clock, state, decisions, gate, wait } = createFixture();
        assert.equal(gate.isOpen(), false);
        wait();
        wait();
        await clock.advance(100);
        assert.deepEqual(decisions, []);
        assert.ok(state.calls > 0);
        state.isCurrent = true;
        await clock.advance(20);
        assert.deepEqual(decisions, [true, true]);
    });

    it("ends the wait if no proof comes in time, or in the time that the request has", async () => {
        const { clock, decisions, wait } = createFixture();
        wait(100);
        await clock.advance(100);
        assert.deepEqual(decisions, [false]);
        wait();
        await clock.advance(480);
        assert.deepEqual(decisions, [false]);
        await clock.advance(20);
        assert.deepEqual(decisions, [false, false]);
    });

    it("keeps no request waiting while the store does not answer the node", async () => {
        const { clock, state, decisions, wait } = createFixture();
        wait();
        await clock.advance(20);
        state.isWithoutStore = true;
        await clock.advance(20);
        assert.deepEqual(decisions, [false]);
        wait();
        assert.deepEqual(decisions, [false, false]);
    });

    it("limits the rate of the calls, however many requests wait one after the other", async () => {
        const { clock, state, wait } = createFixture();
        for (let count = 0; count < 100; count++) {
            wait(10);
            await clock.advance(20);
        }
        assert.ok(state.calls <= 9, `${state.calls} calls in 2 s`);
    });

    it("limits the number of requests that wait", () => {
        const { decisions, wait } = createFixture();
        for (let count = 0; count < 205; count++) {
            wait();
        }
        assert.deepEqual(decisions, [false, false, false, false, false]);
    });

    it("forgets a request whose caller has left, and then makes no more calls", async () => {
        const { clock, state, decisions, wait } = createFixture();
        const cancel = wait();
        cancel();
        await clock.advance(1_000);
        assert.deepEqual(decisions, []);
        assert.equal(state.calls, 1);
    });
});
