import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { StepTimeEstimator } from "../../../src/request/chain/stepTimeEstimator.ts";

describe("getEstimate", () => {
    it("starts from the configured time, or the median of the accelerator kind, or the median of all endpoints", () => {
        const estimator = StepTimeEstimator.create();
        estimator.addEndpoint("e0", "k", 2);
        estimator.addEndpoint("e1", "k", 3);
        estimator.addEndpoint("e2", "k", 4);
        estimator.addEndpoint("e3", "k", undefined);
        estimator.addEndpoint("e4", "other", undefined);
        assert.equal(estimator.getEstimate("e0").decodeMilliseconds, 2);
        assert.equal(estimator.getEstimate("e3").decodeMilliseconds, 3);
        assert.equal(estimator.getEstimate("e4").decodeMilliseconds, 3);
    });

    it("learns the step time without waiting, and the wait per waiting pass", () => {
        const estimator = StepTimeEstimator.create();
        estimator.addEndpoint("e0", "k", undefined);
        const initialUncertainty = estimator.getEstimate("e0").uncertainty;
        for (let index = 0; index < 400; index++) {
            const queue = index % 5;
            estimator.observe("e0", { layers: 4, positions: 1, queue }, 8 + 3 * queue);
        }
        const { decodeMilliseconds, uncertainty, waitMilliseconds } = estimator.getEstimate("e0");
        assert.ok(Math.abs(decodeMilliseconds - 2) < 0.2, `decode ${decodeMilliseconds}`);
        assert.ok(Math.abs(waitMilliseconds - 3) < 0.6, `wait ${waitMilliseconds}`);
        assert.ok(uncertainty < initialUncertainty / 100);
    });
});
