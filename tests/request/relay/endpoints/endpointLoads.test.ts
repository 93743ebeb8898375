import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EndpointLoads } from "../../../../src/request/relay/endpoints/endpointLoads.ts";
import { createEndpoint } from "../relayModel.ts";

const stages = [
    { endpoint: createEndpoint("1"), start: 0, end: 10 },
    { endpoint: createEndpoint("2"), start: 10, end: 40 },
];

describe("EndpointLoads", () => {
    it("reserves the load of a request at each stage until it is released, and releases it only once", () => {
        const loads = EndpointLoads.create();
        const reservation = loads.reserveStages(stages, 100, 0);
        assert.deepEqual(loads.getLoad("2"), { endpointId: "2", requests: 1, tokenLayers: 3_000 });
        reservation.release();
        reservation.release();
        assert.deepEqual(loads.getLoad("2"), { endpointId: "2", requests: 0, tokenLayers: 0 });
        assert.deepEqual(loads.getOwnLoads(), []);
    });

    it("adds the latest reports of peers, which expire when a peer stops reporting", () => {
        const loads = EndpointLoads.create();
        loads.setPeerLoads("p", [{ endpointId: "1", requests: 4, tokenLayers: 40 }], 0, 0);
        loads.setPeerLoads("p", [{ endpointId: "1", requests: 3, tokenLayers: 30 }], 0, 100);
        loads.reserveStages(stages, 1, 100);
        assert.deepEqual(loads.getLoad("1"), { endpointId: "1", requests: 4, tokenLayers: 40 });
        loads.setPeerLoads("q", [], 0, 10_000);
        assert.deepEqual(loads.getLoad("1"), { endpointId: "1", requests: 1, tokenLayers: 10 });
    });

    // Guards against a node that refuses requests for those of peers which are gone.
    it("forgets the requests of peers that have stopped reporting although no other peer reports", () => {
        const loads = EndpointLoads.create();
        loads.setPeerLoads("p", [{ endpointId: "1", requests: 10, tokenLayers: 100 }], 50, 0);
        loads.forgetOldReports(3_000);
        assert.equal(loads.getAvailableSlots("1", 10, 50), 0);
        loads.forgetOldReports(4_100);
        assert.equal(loads.getAvailableSlots("1", 10, 50), 10);
        assert.equal(loads.getExpectedLoad("1").requests, 0);
    });

    it("keeps the same sums as adding up all current reports, and no rounding error when the last request ends", () => {
        const anyReport = fc.record({
            peer: fc.constantFrom("p", "q", "r"),
            elapsed: fc.constantFrom(0, 300, 2_000),
            tokens: fc.array(fc.integer({ min: 1, max: 1_000 }), { maxLength: 3 }),
        });
        fc.assert(fc.property(fc.array(anyReport, { maxLength: 30 }), reports => {
            const loads = EndpointLoads.create();
            const current = new Map<string, { at: number; tokens: number[]; }>();
            let now = 0;
            for (const { peer, elapsed, tokens } of reports) {
                now += elapsed;
                const records = tokens.map((count, id) => ({
                    endpointId: String(id),
                    requests: 1,
                    tokenLayers: count / 7,
                }));
                loads.setPeerLoads(peer, records, 0, now);
                current.set(peer, { at: now, tokens });
            }
            for (const id of [0, 1, 2]) {
                const shown = [...current.values()].filter(({ at, tokens }) => now - at <= 3_000 && id < tokens.length);
                const expected = shown.reduce((sum, { tokens }) => sum + tokens[id]! / 7, 0);
                const { requests, tokenLayers } = loads.getLoad(String(id));
                assert.equal(requests, shown.length);
                assert.ok(shown.length === 0 ? tokenLayers === 0 : Math.abs(tokenLayers - expected) < 1e-6);
            }
        }));
    });

    // Guards against nodes that all take an endpoint for free, since each one knows the requests of few others.
    it("expects of live nodes without a recent report what the others report on average, and leaves memory for them", () => {
        const loads = EndpointLoads.create(() => undefined, () => 60);
        for (let peer = 0; peer < 20; peer++) {
            loads.setPeerLoads(`${peer}`, [{ endpointId: "1", requests: 1, tokenLayers: 100 }], 50, 0);
        }
        loads.reserveStages(stages, 100, 0);
        assert.deepEqual(loads.getLoad("1"), { endpointId: "1", requests: 21, tokenLayers: 3_000 });
        assert.deepEqual(loads.getExpectedLoad("1"), { endpointId: "1", requests: 61, tokenLayers: 7_000 });
        assert.ok(loads.getAvailableMemory("1", 5_000, 50, 0) <= 0);
        assert.ok(loads.getAvailableMemory("1", 10_000, 50, 0) > 0);
    });

    it("expects nothing beyond the reports where all nodes report, and less where only a few do", () => {
        const report = [{ endpointId: "1", requests: 1, tokenLayers: 100 }];
        for (const [livePeers, requests] of [[0, 1], [1, 1], [12, 1], [60, 5]] as const) {
            const loads = EndpointLoads.create(() => undefined, () => livePeers);
            loads.setPeerLoads("p", report, 0, 0);
            assert.equal(loads.getExpectedLoad("1").requests, requests);
        }
    });

    it("reserves the memory of an ended request for this node until peers know that it ended", () => {
        const loads = EndpointLoads.create();
        const reservation = loads.reserveStages(stages, 100, 0);
        loads.setPeerLoads("p", [{ endpointId: "1", requests: 9, tokenLayers: 9_500 }], 100, 0);
        assert.ok(loads.getAvailableMemory("1", 10_000, 100, 10) <= 0);
        reservation.release();
        assert.equal(loads.getAvailableMemory("1", 10_000, 100, 20), 1_000);
        assert.ok(loads.getAvailableMemory("1", 10_000, 100, 5_000) < 1_000);
    });

    it("has no available memory at an endpoint that has just refused a request for lack of it", () => {
        const loads = EndpointLoads.create();
        loads.markFull("1", 0);
        assert.equal(loads.getAvailableMemory("1", 10_000, 100, 100), 0);
        assert.ok(loads.getAvailableMemory("1", 10_000, 100, 1_000) > 0);
    });

    it("calls back when memory may have become available", () => {
        let released = 0;
        const loads = EndpointLoads.create(() => released += 1);
        loads.reserveStages(stages, 100, 0).release();
        loads.setPeerLoads("p", [], 0, 0);
        assert.equal(released, 2);
    });

    it("gets the share of the demand, and counts nodes without a report with the average demand", () => {
        const loads = EndpointLoads.create();
        assert.equal(loads.getDemandShare(0, 4), 1 / 4);
        assert.equal(loads.getDemandShare(100, 4), 1 / 4);
        loads.setPeerLoads("one", [], 50, 0);
        assert.equal(loads.getDemandShare(100, 3), 100 / (100 + 2 * 50));
        // A node without requests keeps a minimum share for requests that may come next.
        assert.equal(loads.getDemandShare(0, 4), 1 / 16);
    });
});
