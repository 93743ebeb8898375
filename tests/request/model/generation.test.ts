import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { PassResult } from "../../../src/connection/endpoint/engineProtocol.ts";
import type { Chain } from "../../../src/request/chain/chain.ts";
import { Generation } from "../../../src/request/model/generation.ts";
import type { NextPass } from "../../../src/request/model/generationStep.ts";

const layers = 12;
const promptPositions = 3;
const maximumTokens = 5;

describe("Generation", () => {
    function createGeneration(): Generation {
        return Generation.create({
            request: "r",
            model: "m",
            layers,
            prompt: "one two three",
            maximumTokens,
            priority: 0,
        });
    }

    function createChain(boundaries: readonly number[]): Chain {
        const stages = [];
        let layerStart = 0;
        for (const layerEnd of [...boundaries, layers]) {
            stages.push({ endpoint: `engine-${layerStart}`, layerStart, layerEnd });
            layerStart = layerEnd;
        }
        return { stages };
    }

    function createResult(pass: NextPass, token: number): PassResult {
        const count = pass.hidden?.length ?? (pass.position === 0 ? promptPositions : 0) + (pass.tokens?.length ?? 0);
        const { request, attempt, position, layerStart, layerEnd } = pass;
        const payload = layerEnd === layers
            ? { token, text: `t${token} ` }
            : { hidden: new Array<number>(count).fill(0) };
        return {
            id: 0,
            request,
            attempt,
            position,
            count,
            layerStart,
            layerEnd,
            outcome: "done",
            queue: 0,
            ...payload,
        };
    }

    it("emits each token once and in order despite duplicate results, late results and broken attempts", () => {
        const boundaries = fc.subarray([2, 5, 7, 10]).map(list => [...list].sort((left, right) => left - right));
        const disturbance = fc.constantFrom("none", "doubled", "old", "broken");
        fc.assert(
            fc.property(fc.array(fc.tuple(disturbance, boundaries), { minLength: 40, maxLength: 80 }), plan => {
                const generation = createGeneration();
                const emitted: string[] = [];
                const old: PassResult[] = [];
                let pass = generation.startAttempt(createChain([4]));
                for (const [kind, cuts] of [...plan, ...plan]) {
                    if (kind === "broken") {
                        pass = generation.startAttempt(createChain(cuts));
                    }
                    if (kind === "old" && old.length > 0) {
                        assert.equal(generation.acceptResult(old[old.length >> 1]!).kind, "stale");
                    }
                    const result = createResult(pass, emitted.length);
                    const step = generation.acceptResult(result);
                    old.push(result);
                    if (kind === "doubled") {
                        assert.equal(generation.acceptResult(result).kind, "stale");
                    }
                    assert.ok(step.kind === "nextStage" || step.kind === "token" || step.kind === "ended");
                    if (step.kind !== "nextStage") {
                        emitted.push(step.text);
                    }
                    if (step.kind === "ended") {
                        break;
                    }
                    pass = step.pass;
                }
                assert.deepEqual(emitted, emitted.map((_text, index) => `t${index} `));
            }),
            { seed: 20261202, numRuns: 300 },
        );
    });

    it("rejects a chain that skips a layer", () => {
        const stages = [{ endpoint: "a", layerStart: 0, layerEnd: 4 }, {
            endpoint: "b",
            layerStart: 5,
            layerEnd: layers,
        }];
        assert.throws(() => createGeneration().startAttempt({ stages }), { invariant: "chainTilesModel" });
    });

    it("rejects a result whose request, layers or positions do not match the pass", () => {
        const generation = createGeneration();
        const pass = generation.startAttempt(createChain([4]));
        const result = createResult(pass, 0);
        assert.equal(generation.acceptResult({ ...result, layerEnd: 6 }).kind, "malformed");
        assert.equal(generation.acceptResult({ ...result, request: "other" }).kind, "malformed");
        assert.equal(generation.acceptResult({ ...result, hidden: [] }).kind, "malformed");
        assert.equal(generation.acceptResult(result).kind, "nextStage");
    });

    it("counts the positions of a rebuilt context separately", () => {
        const generation = createGeneration();
        const first = generation.acceptResult(createResult(generation.startAttempt(createChain([])), 0));
        assert.equal(first.kind, "token");
        const rebuild = generation.startAttempt(createChain([6]));
        assert.equal(rebuild.rebuild, true);
        const step = generation.acceptResult(createResult(rebuild, 1));
        assert.ok(step.kind === "nextStage");
        assert.equal(generation.acceptResult(createResult(step.pass, 1)).kind, "token");
        assert.equal(generation.getRebuiltPositions(), promptPositions + 1);
        assert.equal(generation.getTokenCount(), 2);
    });

    it("continues an earlier attempt with its last pass, unless another one has emitted a token since", () => {
        const generation = createGeneration();
        const first = generation.acceptResult(createResult(generation.startAttempt(createChain([])), 0));
        assert.ok(first.kind === "token");
        const progress = generation.getProgress();
        const other = generation.startAttempt(createChain([6]));
        assert.equal(generation.acceptResult(createResult(other, 1)).kind, "nextStage");
        generation.resumeAttempt(progress);
        assert.equal(generation.acceptResult(createResult(first.pass, 1)).kind, "token");
        assert.equal(generation.getRebuiltPositions(), 0);
        const last = generation.startAttempt(createChain([]));
        assert.equal(last.attempt, 3);
        assert.equal(generation.acceptResult(createResult(last, 2)).kind, "token");
        assert.throws(() => generation.resumeAttempt(progress), { invariant: "resumedAttemptIsComplete" });
    });
});
