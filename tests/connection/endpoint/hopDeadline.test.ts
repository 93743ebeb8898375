import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HopDeadline } from "../../../src/connection/endpoint/hopDeadline.ts";

describe("HopDeadline", () => {
    function learn(milliseconds: number): HopDeadline {
        const deadline = HopDeadline.create();
        for (let pass = 0; pass < 200; pass += 1) {
            deadline.observe(1, milliseconds + pass % 2);
        }
        return deadline;
    }

    it("waits longer for an engine that answers later, and for more positions", () => {
        const near = learn(10);
        const far = learn(300);
        assert.ok(near.getDeadline(1) < far.getDeadline(1));
        assert.ok(far.getDeadline(1) > 2 * 300);
        assert.ok(near.getDeadline(100) > near.getDeadline(1));
    });

    it("learns nothing from a result that covers no position", () => {
        const deadline = learn(10);
        const before = deadline.getDeadline(100);
        deadline.observe(0, 50);
        assert.equal(deadline.getDeadline(100), before);
    });

    it("gives a probe time for the two round trips of a far link", () => {
        assert.ok(learn(10).getProbeTimeout() < learn(300).getProbeTimeout());
        assert.ok(learn(300).getProbeTimeout() > 2 * 300);
        assert.ok(Number.isInteger(learn(300).getProbeTimeout()), "A timer of an abort signal takes whole numbers.");
    });
});
