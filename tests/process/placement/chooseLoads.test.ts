import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { chooseLoads } from "../../../src/process/placement/chooseLoads.ts";
import type { PlacementEndpoint } from "../../../src/process/placement/placementEndpoint.ts";

const first = { start: 0, end: 40 };
const second = { start: 40, end: 80 };
const columns = [first, second].map(layers => ({ layers, kind: "fast" }));
const loadsAtOnce = 2;

function createEndpoint(id: string, layers?: typeof first, isBusy = false): PlacementEndpoint {
    return { id, dataCentre: id[0]!, kind: "fast", layers, isBusy };
}

function assign(...wanted: [string, typeof first][]) {
    return wanted.map(([endpointId, layers]) => ({ endpointId, layers }));
}

function listIds(endpoints: PlacementEndpoint[], assignments: ReturnType<typeof assign>, activeLoads = 0): string[] {
    return chooseLoads({ columns, endpoints, assignments, activeLoads, loadsAtOnce }).map(({ endpointId }) =>
        endpointId
    );
}

describe("chooseLoads", () => {
    it("orders all loads at once while the service has no complete chain", () => {
        const endpoints = [createEndpoint("a1"), createEndpoint("a2"), createEndpoint("b1"), createEndpoint("b2")];
        const assignments = assign(["a1", first], ["a2", second], ["b1", first], ["b2", second]);
        assert.deepEqual(listIds(endpoints, assignments), ["a1", "a2", "b1", "b2"]);
    });

    it("prefers the data centre that lacks the fewest columns, within the limit of concurrent loads", () => {
        const endpoints = [
            createEndpoint("a1"),
            createEndpoint("a2"),
            createEndpoint("b1", first),
            createEndpoint("b2"),
            createEndpoint("c1", first),
            createEndpoint("c2", second),
        ];
        const assignments = assign(["a1", first], ["a2", second], ["b2", second]);
        assert.deepEqual(listIds(endpoints, assignments), ["b2", "a1"]);
    });

    it("counts the loads in progress toward the limit", () => {
        const endpoints = [
            createEndpoint("a1", first, true),
            createEndpoint("b1", second, true),
            createEndpoint("b2"),
            createEndpoint("c1", first),
            createEndpoint("c2", second),
        ];
        assert.deepEqual(listIds(endpoints, assign(["b2", first]), 2), []);
        assert.deepEqual(listIds(endpoints, assign(["b2", first]), 1), ["b2"]);
    });

    it("prefers complete columns to parts of columns", () => {
        const endpoints = [
            createEndpoint("a1"),
            createEndpoint("a2"),
            createEndpoint("a3"),
            createEndpoint("c1", first),
            createEndpoint("c2", second),
        ];
        const assignments = assign(["a1", { start: 0, end: 20 }], ["a2", first], ["a3", second]);
        assert.deepEqual(listIds(endpoints, assignments), ["a2", "a3"]);
    });

    // Replicas in a complete data centre were loaded before what another one lacked, and while the fleet lacked a range, all at once.
    it("loads first what the fleet lacks, then what a data centre lacks, then replicas", () => {
        const endpoints = [
            createEndpoint("a1", first),
            createEndpoint("a2"),
            createEndpoint("a3"),
            createEndpoint("b1", first),
            createEndpoint("b2"),
            createEndpoint("c1", first),
            createEndpoint("c2"),
        ];
        const assignments = assign(["a3", first], ["a2", second], ["b2", second], ["c2", second]);
        assert.deepEqual(listIds(endpoints, assignments), ["a2", "b2"]);
        assert.deepEqual(listIds(endpoints, assign(["a3", first], ["c2", second])), ["c2", "a3"]);
        const loading = endpoints.map(endpoint =>
            endpoint.id === "a2" ? { ...endpoint, layers: second, isBusy: true } : endpoint
        );
        assert.deepEqual(listIds(loading, assign(["a3", first], ["b2", second]), 1), ["b2"]);
    });

    it("prefers the smaller of two ranges that the fleet lacks", () => {
        const sizes = [first, { start: 40, end: 70 }, { start: 70, end: 80 }];
        const endpoints = [createEndpoint("a1", first), createEndpoint("a2"), createEndpoint("a3")];
        const assignments = assign(["a2", sizes[1]!], ["a3", sizes[2]!]);
        const query = { columns: sizes.map(layers => ({ layers, kind: "fast" })), endpoints, assignments };
        const chosen = chooseLoads({ ...query, activeLoads: 1, loadsAtOnce });
        assert.deepEqual(chosen.map(({ endpointId }) => endpointId), ["a3"]);
    });
});
