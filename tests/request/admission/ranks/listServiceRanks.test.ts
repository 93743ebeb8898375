import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { listServiceRanks } from "../../../../src/request/admission/ranks/listServiceRanks.ts";
import { RelayBench } from "../../../request/relay/relayBench.ts";

const { route } = RelayBench.create([]).createTask("stream");

function createRoute(priority: number, service: string, isPublic = false) {
    return { ...route, priority, services: [{ service, weight: 1 }], isPublic };
}

function createCustomer(rank: number | undefined) {
    return { name: "c", apiKeys: [], rank };
}

describe("listServiceRanks", () => {
    it("lists the priorities of the routes of a service and the ranks of the customers", () => {
        const routes = [createRoute(2, "a"), createRoute(1, "a"), createRoute(5, "b")];
        assert.deepEqual(listServiceRanks({ routes, customers: [] }, "a"), [1, 2]);
        assert.deepEqual(listServiceRanks({ routes, customers: [createCustomer(0), createCustomer(undefined)] }, "a"), [
            0,
            1,
            2,
        ]);
        assert.deepEqual(listServiceRanks({ routes, customers: [createCustomer(0)] }, "unknown"), []);
    });

    // Guards against ranks that no request has: they would make a service with one rank look like one with two.
    it("ignores the priority of a route that no request has", () => {
        const customers = [createCustomer(3)];
        assert.deepEqual(listServiceRanks({ routes: [createRoute(1, "a")], customers }, "a"), [3]);
        assert.deepEqual(listServiceRanks({ routes: [createRoute(1, "a", true)], customers }, "a"), [1, 3]);
    });
});
