import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { assertValidChain } from "../../../../src/request/relay/chains/assertValidChain.ts";
import { chooseStages } from "../../../../src/request/relay/chains/chooseStages.ts";
import type { StageCandidate } from "../../../../src/request/relay/chains/stageCandidate.ts";
import type { StageQuery } from "../../../../src/request/relay/chains/stageQuery.ts";
import { createCandidate, relayModel, stageQuery } from "../relayModel.ts";

const query: StageQuery = { ...stageQuery, mayOvercommit: true };

function choose(candidates: StageCandidate[], changes: Partial<StageQuery> = {}): string[] | undefined {
    return chooseStages({ ...query, ...changes }, candidates, () => 0)?.map(({ endpoint }) => endpoint.id);
}

describe("chooseStages", () => {
    it("covers all layers when several endpoints hold the same ranges", () => {
        const candidates = [createCandidate("1", 0, 30), createCandidate("2", 30, 80), createCandidate("3", 30, 80)];
        const stages = chooseStages(query, candidates, () => 0);
        assertValidChain(stages!, relayModel.layers);
    });

    it("finds no chain if layers are missing", () => {
        assert.equal(choose([createCandidate("1", 0, 30), createCandidate("2", 31, 80)]), undefined);
    });

    it("runs a part of the held layers if the ranges of endpoints overlap", () => {
        const stages = chooseStages(query, [createCandidate("1", 0, 50), createCandidate("2", 30, 80)], () => 0);
        assertValidChain(stages!, relayModel.layers);
    });

    it("prefers replicas that have fewer requests, have free memory, or aren't slow", () => {
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

    it("uses an endpoint without free memory only if overfilling is allowed", () => {
        const candidates = [createCandidate("1", 0, 40), createCandidate("2", 40, 80, { tokenLayers: 4_500_000 })];
        assert.deepEqual(choose(candidates), ["1", "2"]);
        assert.equal(choose(candidates, { mayOvercommit: false }), undefined);
    });

    // Requests waited at the fastest first stage until others had ended, while other first stages had free slots.
    it("sends no request to a first stage whose slots are full while another one has some", () => {
        const busy = createCandidate("1", 0, 40, { requests: 134, slowness: 0.1 });
        const candidates = [busy, createCandidate("2", 0, 40), createCandidate("3", 40, 80, { requests: 134 })];
        assert.deepEqual(choose(candidates), ["2", "3"]);
        assert.deepEqual(choose(candidates, { mayOvercommit: false }), ["2", "3"]);
        const halfBusy = { ...busy, requests: 60, freeSlots: 74 };
        assert.deepEqual(choose([halfBusy, ...candidates.slice(1)], { mayOvercommit: false }), ["1", "3"]);
    });

    it("uses a first stage without a free slot only if overfilling is allowed or it runs the request", () => {
        const first = createCandidate("1", 0, 40, { requests: 134 });
        const candidates = [first, createCandidate("2", 40, 80)];
        const firstStage = { endpoint: first.endpoint, start: 0, end: 40 };
        assert.deepEqual(choose(candidates), ["1", "2"]);
        assert.equal(choose(candidates, { mayOvercommit: false }), undefined);
        assert.deepEqual(choose(candidates, { mayOvercommit: false, firstStage }), ["1", "2"]);
    });

    it("leaves the spare fraction of a first stage's slots free", () => {
        const candidates = [createCandidate("1", 0, 40, { requests: 120 }), createCandidate("2", 40, 80)];
        assert.deepEqual(choose(candidates, { mayOvercommit: false }), ["1", "2"]);
        assert.equal(choose(candidates, { mayOvercommit: false, spareFraction: 0.2 }), undefined);
    });

    // Late requests and lower ranks never got an endpoint of few slots, however idle it was.
    it("leaves whole slots free, so that an idle first stage of few slots runs requests", () => {
        const first = createCandidate("1", 0, 40, { freeSlots: 1 });
        const single = { ...first, endpoint: { ...first.endpoint, slots: 1 } };
        const candidates = [single, createCandidate("2", 40, 80)];
        assert.deepEqual(choose(candidates, { mayOvercommit: false, spareFraction: 0.2 }), ["1", "2"]);
    });

    it("uses an endpoint whose slots are full as a later stage", () => {
        const candidates = [
            createCandidate("1", 0, 60, { requests: 134 }),
            createCandidate("2", 0, 30),
            createCandidate("3", 60, 80),
        ];
        assert.deepEqual(choose(candidates, { mayOvercommit: false }), ["2", "1", "3"]);
    });

    it("stays in the caller's data centre if the loads are equal", () => {
        const candidates = [
            createCandidate("1", 0, 40, { dataCentre: "b" }),
            createCandidate("2", 0, 40),
            createCandidate("3", 40, 80, { dataCentre: "b" }),
            createCandidate("4", 40, 80),
        ];
        assert.deepEqual(choose(candidates), ["2", "4"]);
    });

    it("uses a less loaded replica in another data centre, unless the links are nearly saturated", () => {
        const candidates = [
            createCandidate("1", 0, 40),
            createCandidate("2", 40, 80, { requests: 60 }),
            createCandidate("3", 40, 80, { dataCentre: "b" }),
        ];
        assert.deepEqual(choose(candidates), ["1", "3"]);
        assert.deepEqual(choose(candidates, { linkUtilization: 0.9 }), ["1", "2"]);
    });

    it("uses a link only if the node's share of it is free, unless the request must not wait", () => {
        const candidates = [createCandidate("1", 0, 40), createCandidate("2", 40, 80, { dataCentre: "b" })];
        const getLinkWait = (from: string, to: string) => from === "a" && to === "b" ? 100 : 0;
        assert.deepEqual(choose(candidates, { mayOvercommit: false }), ["1", "2"]);
        assert.equal(choose(candidates, { mayOvercommit: false, getLinkWait }), undefined);
        assert.deepEqual(choose(candidates, { getLinkWait }), ["1", "2"]);
        const inOtherCentre = [...candidates, createCandidate("3", 0, 40, { dataCentre: "b" })];
        assert.deepEqual(choose(inOtherCentre, { mayOvercommit: false, getLinkWait }), ["3", "2"]);
    });

    it("never uses a link that the request must not use, even if the request must not wait", () => {
        const candidates = [createCandidate("1", 0, 40), createCandidate("2", 40, 80, { dataCentre: "b" })];
        assert.equal(choose(candidates, { getLinkWait: () => Infinity }), undefined);
    });

    it("avoids a link between data centres that has become slow", () => {
        const candidates = [
            createCandidate("1", 0, 40),
            createCandidate("2", 40, 80, { dataCentre: "b" }),
            createCandidate("3", 40, 80, { dataCentre: "c", requests: 40 }),
        ];
        assert.deepEqual(choose(candidates), ["1", "2"]);
        assert.deepEqual(choose(candidates, { getLinkDelay: (_from, to) => to === "b" ? 400 : 0 }), ["1", "3"]);
    });

    it("prefers a first stage with an open connection, unless that endpoint is clearly more loaded", () => {
        const connected = createCandidate("1", 0, 40);
        const others = [createCandidate("2", 0, 40), createCandidate("3", 40, 80)];
        const isConnected = (address: string) => address === connected.endpoint.address;
        assert.deepEqual(choose([...others, connected], { isConnected }), ["1", "3"]);
        const busy = createCandidate("1", 0, 40, { requests: 90 });
        assert.deepEqual(choose([...others, busy], { isConnected }), ["2", "3"]);
    });

    it("keeps the given first stage when a request is moved to another chain", () => {
        const candidates = [
            createCandidate("1", 0, 40, { requests: 90 }),
            createCandidate("2", 0, 40),
            createCandidate("3", 40, 80),
        ];
        const firstStage = { endpoint: candidates[0]!.endpoint, start: 0, end: 40 };
        assert.deepEqual(choose(candidates, { firstStage }), ["1", "3"]);
    });

    it("creates only chains that run each layer once and in order, whichever layers endpoints hold", () => {
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
                        assertValidChain(stages, relayModel.layers);
                    }
                },
            ),
        );
    });
});
