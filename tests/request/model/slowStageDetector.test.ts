import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SlowStageDetector } from "../../../src/request/model/slowStageDetector.ts";

const usualMilliseconds = [5, 8, 6];

describe("SlowStageDetector", () => {
    /** Runs a first pass of 100 positions and then the given number of tokens, with stage times from `getTime`. */
    function run(tokens: number, getTime: (stage: number, token: number) => number): number | undefined {
        const detector = SlowStageDetector.create(usualMilliseconds.length);
        for (let token = 0; token <= tokens; token += 1) {
            for (let stage = 0; stage < usualMilliseconds.length; stage += 1) {
                const milliseconds = token === 0 ? 50 : getTime(stage, token);
                detector.observePass(stage, token === 0 ? 100 : 1, milliseconds);
            }
            const slowStage = detector.findSlowStage();
            if (slowStage !== undefined) {
                return slowStage;
            }
        }
        return undefined;
    }

    it("finds a stage that became ten times slower", () => {
        const slowStage = run(100, (stage, token) => usualMilliseconds[stage]! * (stage === 1 && token > 50 ? 10 : 1));
        assert.equal(slowStage, 1);
    });

    it("finds none if all stages slow down together, as under load", () => {
        assert.equal(run(100, (stage, token) => usualMilliseconds[stage]! * (token > 50 ? 10 : 1)), undefined);
    });

    it("finds none for short slowdowns, even if they are frequent", () => {
        const getTime = (stage: number, token: number) => stage === 1 && token % 10 === 0 ? 500 : 5;
        assert.equal(run(1_000, getTime), undefined);
    });

    it("finds none if the excess is small compared with the time of a rebuild", () => {
        assert.equal(run(100, (stage, token) => stage === 1 && token > 95 ? 50 : 5), undefined);
    });
});
