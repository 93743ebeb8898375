import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PossibleRuns } from "../../../src/request/relay/possibleRuns.ts";
import { createEndpoint } from "./relayModel.ts";

const maximumEndpoints = 2;

function createRun(id: string, sentAt: number | undefined = 1) {
    return { endpoint: createEndpoint(id), isBroken: false, getSentTime: () => sentAt };
}

function createRuns(endedIds: readonly string[] = []): PossibleRuns {
    return PossibleRuns.create({ hasEnded: ({ endpoint }) => endedIds.includes(endpoint.id) }, maximumEndpoints);
}

// Guards against more endpoints than a route allows, and against attempts that are used up by endpoints that have crashed.
describe("PossibleRuns", () => {
    it("allows as many endpoints as the route, not counting unsent requests or the same endpoint twice", () => {
        const runs = createRuns();
        const unsent = { ...createRun("1"), getSentTime: () => undefined };
        for (const run of [unsent, createRun("2"), createRun("2")]) {
            runs.add(run);
            assert.equal(runs.getOnlyAllowedIds(), undefined);
        }
        runs.add(createRun("3"));
        assert.deepEqual([...runs.getOnlyAllowedIds() ?? []], ["2", "3"]);
    });

    it("doesn't count an endpoint that has ended, also the second one", () => {
        const runs = createRuns(["1", "2"]);
        for (const id of ["1", "2", "3"]) {
            runs.add(createRun(id));
            assert.equal(runs.getOnlyAllowedIds(), undefined);
        }
        assert.deepEqual(runs.describe(), { countedRuns: "3", endedRuns: "1,2" });
    });

    it("doesn't count a run that surely hasn't begun", () => {
        const runs = createRuns();
        const refused = createRun("1");
        runs.add(refused);
        runs.add(createRun("2"));
        runs.remove(refused);
        assert.equal(runs.getOnlyAllowedIds(), undefined);
    });
});
