import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { chooseHealthyStages } from "../../../../src/request/relay/chains/chooseHealthyStages.ts";
import type { StageCandidate } from "../../../../src/request/relay/chains/stageCandidate.ts";
import type { StageQuery } from "../../../../src/request/relay/chains/stageQuery.ts";
import { createCandidate, stageQuery } from "../relayModel.ts";
const last = createCandidate("last", 40, 80);
const full = createCandidate("full", 0, 40, { tokenLayers: 6_000_000 });
const lost = createCandidate("lost", 0, 40, { isSuspect: true });

function choose(candidates: StageCandidate[], changes: Partial<StageQuery> = {}): string[] | undefined {
    return chooseHealthyStages({ ...stageQuery, ...changes }, candidates, () => 0)?.map(({ endpoint }) => endpoint.id);
}

describe("chooseHealthyStages", () => {
    it("doesn't use suspect endpoints if there are others", () => {
        assert.deepEqual(choose([lost, createCandidate("sound", 0, 40), last]), ["sound", "last"]);
    });

    it("waits for free memory instead of trying a suspect endpoint", () => {
        assert.equal(choose([lost, full, last]), undefined);
    });

    it("prefers a full endpoint to a suspect one if it must not wait", () => {
        assert.deepEqual(choose([lost, full, last], { mayOvercommit: true }), ["full", "last"]);
    });

    it("tries a suspect endpoint if no other holds its layers", () => {
        assert.deepEqual(choose([lost, last]), ["lost", "last"]);
    });
});
