import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { getCapacityTokens } from "../../../../src/request/relay/chains/getCapacityTokens.ts";
import { createCandidate, relayModel } from "../relayModel.ts";

describe("getCapacityTokens", () => {
    // Guards against memory of lost endpoints that counts as capacity.
    it("is the memory of the layers with the least, without suspect endpoints", () => {
        const candidates = [
            createCandidate("1", 0, 40),
            createCandidate("2", 0, 40),
            createCandidate("3", 40, 80),
            createCandidate("4", 40, 80, { isSuspect: true }),
        ];
        assert.equal(getCapacityTokens(candidates, relayModel), 100_000);
        assert.equal(
            getCapacityTokens(candidates.slice(0, 3).with(2, createCandidate("3", 20, 80)), relayModel),
            100_000,
        );
    });

    // Guards against slow endpoints that take as many requests as their memory holds, and then write every event late.
    it("is bounded by the time between events", () => {
        const candidates = [createCandidate("1", 0, 40), createCandidate("2", 40, 80, { slowness: 30 })];
        assert.equal(getCapacityTokens(candidates, relayModel, 100_000), 100_000);
        const tokens = getCapacityTokens(candidates, relayModel, 250);
        assert.ok(tokens > 0 && tokens < 100_000, `${tokens}`);
        assert.equal(getCapacityTokens(candidates, relayModel, 200), 0);
    });

    it("is bounded by the slots of first stages", () => {
        const { typicalPromptTokens, typicalAnswerTokens } = relayModel;
        const first = createCandidate("1", 0, 40);
        const few = { ...first, endpoint: { ...first.endpoint, slots: 10 } };
        assert.equal(
            getCapacityTokens([few, createCandidate("2", 40, 80)], relayModel),
            10 * (typicalPromptTokens + typicalAnswerTokens),
        );
    });

    it("is 0 if a layer is missing", () => {
        assert.equal(getCapacityTokens([createCandidate("1", 0, 40), createCandidate("2", 50, 80)], relayModel), 0);
        assert.equal(getCapacityTokens([createCandidate("1", 0, 40)], relayModel), 0);
        assert.equal(getCapacityTokens([], relayModel), 0);
    });
});
