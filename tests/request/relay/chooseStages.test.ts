import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { assertTiling } from "../../../src/request/relay/assertTiling.ts";
import { chooseStages } from "../../../src/request/relay/chooseStages.ts";
import type { StageCandidate } from "../../../src/request/relay/stageCandidate.ts";
import type { StageQuery } from "../../../src/request/relay/stageQuery.ts";
import { createCandidate, relayModel, stageQuery } from "./relayModel.ts";

const query: StageQuery = { ...stageQuery, mayOverfill: true };

function choose(candidates: StageCandidate[], changes: Partial<StageQuery> = {}): string[] | undefined {
    return chooseStages({ ...query, ...changes }, candidates, () => 0)?.map(({ endpoint }) => endpoint.id);
}

describe("chooseStages", () => {
    it("tiles all layers with replicas of columns", () => {
        const candidates = [createCandidate("1", 0, 30), createCandidate("2", 30, 80), createCandidate("3", 30, 80)];
        const stages = chooseStages(query, candidates, () => 0);
        assertTiling(stages!, relayModel.layers);
    });

    it("finds none where layers are missing", () => {
        assert.equal(choose([createCandidate("1", 0, 30), createCandidate("2", 31, 80)]), undefined);
    });

    it("uses a part of what an endpoint holds where columns don't fit each other", () => {
        const stages = chooseStages(query, [createCandidate("1", 0, 50), createCandidate("2", 30, 80)], () => 0);
        assertTiling(stages!, relayModel.layers);
    });

    it("takes the replica with fewer requests, with free memory, and that is not slow", () => {
        const first = createCandidate("1", 0, 40);
        assert.deepEqual(
            choose([first, createCandidate("2", 40, 80, { requests: 60 }), createCandidate("3", 40, 80)]),
            ["1", "3"],
        );
        const full = createCandidate("2", 40, 80, { tokenLayers: 3_900_000 });
        assert.deepEqual(choose([first, full, createCandidate("3", 40, 80, { requests: 60 })]), ["1", "3"]);
        assert.deepEqual(choose([first, createCandidate("2", 40, 80, { slowness: 4 }), createCandidate("3", 40, 80)]), [
            "1",
            "3",
        ]);
    });

    it("uses an endpoint without room only where it may", () => {
        const candidates = [createCandidate("1", 0, 40), createCandidate("2", 40, 80, { tokenLayers: 4_500_000 })];
        assert.deepEqual(choose(candidates), ["1", "2"]);
        assert.equal(choose(candidates, { mayOverfill: false }), undefined);
    });

    it("stays in the caller's data centre where the load is alike", () => {
        const candidates = [
            createCandidate("1", 0, 40, { dataCentre: "b" }),
            createCandidate("2", 0, 40),
            createCandidate("3", 40, 80, { dataCentre: "b" }),
            createCandidate("4", 40, 80),
        ];
        assert.deepEqual(choose(candidates), ["2", "4"]);
    });

    it("crosses to a less loaded replica, but not while the pipes are nearly full", () => {
        const candidates = [
            createCandidate("1", 0, 40),
            createCandidate("2", 40, 80, { requests: 60 }),
            createCandidate("3", 40, 80, { dataCentre: "b" }),
        ];
        assert.deepEqual(choose(candidates), ["1", "3"]);
        assert.deepEqual(choose(candidates, { pipeUse: 0.9 }), ["1", "2"]);
    });

    it("crosses only where its node's part of the pipe is free, unless it has to go on at once", () => {
        const candidates = [createCandidate("1", 0, 40), createCandidate("2", 40, 80, { dataCentre: "b" })];
        const getPipeWait = (from: string, to: string) => from === "a" && to === "b" ? 100 : 0;
        assert.deepEqual(choose(candidates, { mayOverfill: false }), ["1", "2"]);
        assert.equal(choose(candidates, { mayOverfill: false, getPipeWait }), undefined);
        assert.deepEqual(choose(candidates, { getPipeWait }), ["1", "2"]);
        const inOtherCentre = [...candidates, createCandidate("3", 0, 40, { dataCentre: "b" })];
        assert.deepEqual(choose(inOtherCentre, { mayOverfill: false, getPipeWait }), ["3", "2"]);
    });

    it("keeps away from a way between data centres that has become slow", () => {
        const candidates = [
            createCandidate("1", 0, 40),
            createCandidate("2", 40, 80, { dataCentre: "b" }),
            createCandidate("3", 40, 80, { dataCentre: "c", requests: 40 }),
        ];
        assert.deepEqual(choose(candidates), ["1", "2"]);
        assert.deepEqual(choose(candidates, { getCrossingDelay: (_from, to) => to === "b" ? 400 : 0 }), ["1", "3"]);
    });

    it("begins where a connection is open, unless that endpoint has clearly more to do", () => {
        const connected = createCandidate("1", 0, 40);
        const others = [createCandidate("2", 0, 40), createCandidate("3", 40, 80)];
        const isConnected = (address: string) => address === connected.endpoint.address;
        assert.deepEqual(choose([...others, connected], { isConnected }), ["1", "3"]);
        const busy = createCandidate("1", 0, 40, { requests: 90 });
        assert.deepEqual(choose([...others, busy], { isConnected }), ["2", "3"]);
    });

    it("begins with the given first stage where a request is moved", () => {
        const candidates = [
            createCandidate("1", 0, 40, { requests: 90 }),
            createCandidate("2", 0, 40),
            createCandidate("3", 40, 80),
        ];
        const firstStage = { endpoint: candidates[0]!.endpoint, start: 0, end: 40 };
        assert.deepEqual(choose(candidates, { firstStage }), ["1", "3"]);
    });

    it("makes only chains that run each layer once and in order, whatever endpoints hold", () => {
        const range = fc.tuple(fc.integer({ min: 0, max: 79 }), fc.integer({ min: 1, max: 80 }));
        fc.assert(
            fc.property(
                fc.array(range, { maxLength: 24 }),
                fc.infiniteStream(fc.double({ min: 0, max: 1, noNaN: true })),
                (ranges, randoms) => {
                    const candidates = ranges.filter(([start, end]) => start < end)
                        .map(([start, end], index) => createCandidate(String(index), start, end));
                    const stages = chooseStages(query, candidates, () => randoms.next().value!);
                    if (stages !== undefined) {
                        assertTiling(stages, relayModel.layers);
                    }
                },
            ),
        );
    });
});
