import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PassDeadline } from "../../../src/connection/endpoint/passDeadline.ts";

describe("PassDeadline", () => {
    function train(milliseconds: number): PassDeadline {
        const deadline = PassDeadline.create();
        for (let pass = 0; pass < 200; pass += 1) {
            deadline.observe(1, milliseconds + pass % 2);
        }
        return deadline;
    }

    it("waits longer for a slower engine, and for more positions", () => {
        const near = train(10);
        const far = train(300);
        assert.ok(near.getDeadline(1) < far.getDeadline(1));
        assert.ok(far.getDeadline(1) > 2 * 300);
        assert.ok(near.getDeadline(100) > near.getDeadline(1));
    });

    it("ignores a result without positions", () => {
        const deadline = train(10);
        const before = deadline.getDeadline(100);
        deadline.observe(0, 50);
        assert.equal(deadline.getDeadline(100), before);
    });

    it("allows a probe two round trips on a link with high latency", () => {
        assert.ok(train(10).getProbeTimeout() < train(300).getProbeTimeout());
        assert.ok(train(300).getProbeTimeout() > 2 * 300);
        assert.ok(Number.isInteger(train(300).getProbeTimeout()), "The timeout of an abort signal must be an integer.");
    });
});
