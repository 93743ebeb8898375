import { array, assert as assertProperty, integer, property, record } from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { computeFlowBound } from "../../../src/request/chain/flow/computeFlowBound.ts";
import type { FlowModel } from "../../../src/request/chain/flow/flowBoundOptions.ts";
import { LayeredGraph } from "../../../src/request/chain/layeredGraph.ts";
import { LinkTable } from "../../../src/request/chain/linkTable.ts";

interface TestEndpoint {
    start: number;
    length: number;
    rate: number;
}

const layers = 4;

describe("computeFlowBound", () => {
    const endpoint = record({
        start: integer({ min: 0, max: layers - 1 }),
        length: integer({ min: 1, max: layers }),
        rate: integer({ min: 1, max: 100 }),
    });

    it("equals the bound of the most constrained set of layers, found by brute force", () => {
        assertProperty(
            property(array(endpoint, { minLength: 1, maxLength: 6 }), endpoints => {
                const { positionsPerSecond } = doTest([endpoints]);
                assertClose(positionsPerSecond, findTightestSet(endpoints));
            }),
            { seed: 20_262, numRuns: 500 },
        );
    });

    it("shares an endpoint's rate between models", () => {
        const both = { start: 0, length: layers, rate: 80 };
        const bound = computeFlowBound({
            models: ["m0", "m1"].map(name => createModel(name, [both])),
            endpoints: new Map([["e0", { dataCentre: "a", rate: both.rate }]]),
            links: createLinks(),
            nodeShares: new Map([["a", 1]]),
        });
        assertClose(bound.positionsPerSecond, 20);
        assertClose(bound.positionsPerSecondAlone.get("m1") ?? 0, 20);
        const parts = bound.flows.get("m0")?.map(row => row[0] ?? 0) ?? [];
        assertClose(parts.reduce((sum, flow) => sum + flow, 0) / parts.length, 10);
    });

    it("is limited by a link's bandwidth", () => {
        const halves = [{ start: 0, length: 2, rate: 1e6 }, { start: 2, length: 2, rate: 1e6 }];
        const bound = computeFlowBound({
            models: [createModel("m0", halves)],
            endpoints: new Map([
                ["e0", { dataCentre: "a", rate: 1e6 }],
                ["e1", { dataCentre: "b", rate: 1e6 }],
            ]),
            links: createLinks(),
            nodeShares: new Map([["a", 1]]),
        });
        assertClose(bound.positionsPerSecond, 1_000);
    });

    it("is zero if a layer is missing", () => {
        assert.equal(doTest([[{ start: 0, length: 3, rate: 5 }]]).positionsPerSecond, 0);
    });
});

function doTest(models: readonly (readonly TestEndpoint[])[]) {
    const endpoints = models.flat();
    return computeFlowBound({
        models: models.map((held, index) => createModel(`m${index}`, held)),
        endpoints: new Map(endpoints.map(({ rate }, index) => [`e${index}`, { dataCentre: "a", rate }])),
        links: createLinks(),
        nodeShares: new Map([["a", 1]]),
    });
}

function createModel(name: string, endpoints: readonly TestEndpoint[]): FlowModel {
    const ranges = endpoints.map(({ start, length }, index) => ({
        endpoint: `e${index}`,
        start,
        end: start + length,
    }));
    return { name, graph: LayeredGraph.create(layers, ranges), hiddenBytes: 1_000, demand: 1 };
}

function createLinks(): LinkTable {
    return LinkTable.create({
        dataCentres: { a: { region: "r" }, b: { region: "r" } },
        links: [{ from: "a", to: "b", latencyMilliseconds: 1, megabytesPerSecond: 1 }],
    });
}

/** By Hall's theorem, the bound is the minimum of (total rate of the endpoints) / (layers) over all sets of layers. */
function findTightestSet(endpoints: readonly TestEndpoint[]): number {
    let least = Infinity;
    for (let set = 1; set < 1 << layers; set++) {
        const members = [...Array(layers).keys()].filter(layer => (set >> layer) % 2 === 1);
        const rate = endpoints
            .filter(({ start, length }) => members.some(layer => start <= layer && layer < start + length))
            .reduce((sum, endpoint) => sum + endpoint.rate, 0);
        least = Math.min(least, rate / members.length);
    }
    return least;
}

function assertClose(actual: number, expected: number): void {
    assert.ok(Math.abs(actual - expected) <= 1e-5 * Math.max(1, expected), `${actual} is not ${expected}`);
}
