import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { assignLayers } from "../../../src/process/placement/assignLayers.ts";
import { MovePurpose } from "../../../src/process/placement/movePurpose.ts";
import type { PlacementEndpoint } from "../../../src/process/placement/placementEndpoint.ts";
import { createSeededRandom } from "../../support/createSeededRandom.ts";
import { getMinimumLoads } from "./getMinimumLoads.ts";
import { createEndpoints, isComplete, parseColumns, replayModel, replayPlacement } from "./replayPlacement.ts";

const firstColumns = parseColumns("a100=0-30,a100=30-60,v100=60-66,v100=66-72,v100=72-78,l4=78-80");
const secondColumns = parseColumns("a100=0-25,a100=25-50,v100=50-55,v100=55-60,v100=60-65,v100=65-70,l4=70-80");
const v100s = ["v100 60-66", "v100 66-72", "v100 72-78"];
const firstFleet = [
    ...createEndpoints("a", "1 a100 0-30", "1 a100 30-60", ...v100s.map(text => `2 ${text}`), "3 l4 78-80"),
    ...createEndpoints("b", "1 a100 0-30", "1 a100 30-60", ...v100s.map(text => `1 ${text}`), "2 l4 78-80"),
    ...createEndpoints("c", "1 a100 0-30", "2 a100 30-60", ...v100s.map(text => `1 ${text}`), "3 l4 78-80"),
];
const secondV100s = ["v100 50-55", "v100 55-60", "v100 60-65", "v100 65-70"];
const secondFleet = [
    ...createEndpoints("a", "1 a100 0-25", "1 a100 25-50", ...secondV100s.map(text => `1 ${text}`), "2 l4 70-80"),
    ...createEndpoints("b", "2 a100 0-25", "1 a100 25-50", ...secondV100s.map(text => `1 ${text}`), "3 l4 70-80"),
    ...createEndpoints("c", "1 a100 0-25", "1 a100 25-50", ...secondV100s.map(text => `2 ${text}`), "4 l4 70-80"),
];

/** Removes random endpoints, some of which return without layers. */
function loseEndpoints(fleet: PlacementEndpoint[], seed: number): PlacementEndpoint[] {
    const random = createSeededRandom(seed);
    const left = [...fleet];
    const returned: PlacementEndpoint[] = [];
    for (let losses = Math.ceil(random() * 3); losses > 0; losses--) {
        const [lost] = left.splice(Math.floor(random() * left.length), 1);
        if (random() < 0.3) {
            returned.push({ ...lost!, layers: undefined });
        }
    }
    return [...left, ...returned];
}

describe("assignLayers after losses", () => {
    // Guards against a data centre that stays incomplete because a column was sized for another kind than is left.
    it("moves an endpoint of another kind to a column that its data centre lacks", () => {
        const endpoints = [
            ...createEndpoints("a", "1 a100 0-30", "1 a100 30-60", "1 v100 66-72", "1 v100 72-78", "2 l4 78-80"),
            ...createEndpoints("b", "1 a100 0-30", "1 a100 30-60", ...v100s.map(text => `2 ${text}`), "2 l4 78-80"),
        ];
        const { moves } = assignLayers(replayModel, firstColumns, endpoints);
        assert.equal(moves.length, 1);
        assert.match(moves[0]!.endpointId, /^a-l4/u);
        assert.deepEqual(moves[0]!.layers, { start: 60, end: 66 });
        assert.equal(moves[0]!.purpose, MovePurpose.DataCentreLacks);
    });

    // Guards against a column that was sized for its kind being preferred by a returning endpoint.
    it("assigns a free endpoint to a column that its data centre lacks, whatever its kind", () => {
        const endpoints = [
            ...createEndpoints(
                "a",
                "1 a100 0-30",
                "1 a100 30-60",
                "1 v100 66-72",
                "1 v100 72-78",
                "1 l4 78-80",
                "1 l4",
            ),
            ...createEndpoints("b", "1 a100 0-30", "1 a100 30-60", ...v100s.map(text => `2 ${text}`), "1 l4 78-80"),
        ];
        assert.deepEqual(assignLayers(replayModel, firstColumns, endpoints), {
            assignments: [{ endpointId: "a-l4-5-0", layers: { start: 60, end: 66 } }],
            moves: [],
        });
    });

    // Guards against balancing memory at the cost of a data centre's only replica.
    it("moves no endpoint for balance that holds its data centre's only replica", () => {
        const endpoints = [
            ...createEndpoints("b", "3 a100 0-30", "3 a100 30-60", ...v100s.map(text => `1 ${text}`), "3 l4 78-80"),
            ...createEndpoints(
                "a",
                "3 a100 0-30",
                "3 a100 30-60",
                "6 v100 60-66",
                "6 v100 66-72",
                "1 v100 72-78",
                "3 l4 78-80",
            ),
        ];
        const [move] = assignLayers(replayModel, firstColumns, endpoints).moves;
        assert.match(move?.endpointId ?? "", /^a-v100/u);
        assert.equal(move?.purpose, MovePurpose.Balance);
        assert.deepEqual(replayPlacement(firstColumns, endpoints).broken, []);
    });

    // Guards against an endpoint that leaves the first column although its data centre then lacks it.
    it("keeps an endpoint on a column that only it holds in its data centre", () => {
        const endpoints = secondFleet.filter(({ id }) => !id.startsWith("a-a100-1"));
        const { moves, assignments } = assignLayers(replayModel, secondColumns, endpoints);
        assert.ok([...moves, ...assignments].every(({ endpointId }) => endpointId !== "a-a100-0-0"));
    });

    // Guards against no data centre being complete for the time of several loads, when all chains use links.
    it("completes first the data centre that lacks the fewest columns", () => {
        const endpoints = [
            ...createEndpoints("a", "2 a100 25-50", ...secondV100s.map(text => `1 ${text}`), "2 l4 70-80"),
            ...createEndpoints("b", "1 a100 0-25", "1 v100 50-55", "2 l4 70-80", "3 v100 55-60"),
            ...createEndpoints("c", "2 a100 0-25", "1 v100 60-65", "1 v100 65-70", "2 l4 70-80"),
        ];
        const { first } = replayPlacement(secondColumns, endpoints);
        assert.deepEqual(first, { dataCentre: "a", loads: first!.loads });
        assert.equal(first!.loads.filter(id => id.startsWith("a-")).length, 1);
        assert.match(assignLayers(replayModel, secondColumns, endpoints).moves[0]!.endpointId, /^a-a100/u);
    });

    // Guards against chains that use links although two endpoints together can hold the lacking column.
    it("splits a column that no endpoint of a data centre can take whole among endpoints that it can spare", () => {
        const endpoints = [
            ...createEndpoints("a", "1 a100 0-30", ...v100s.map(text => `1 ${text}`), "4 l4 78-80"),
            ...createEndpoints("b", "1 a100 0-30", "1 a100 30-60", ...v100s.map(text => `1 ${text}`), "1 l4 78-80"),
        ];
        const replay = replayPlacement(firstColumns, endpoints);
        assert.ok(isComplete(replay.endpoints, "a"));
        assert.equal(replay.moves.length, 3);
        assert.deepEqual(replayPlacement(firstColumns, replay.endpoints.slice(1)).broken, []);
    });

    // Guards against chains that use links although smaller endpoints could free the ones that the parts need.
    it("splits another column to free the endpoints that hold the parts of a lacking one", () => {
        const endpoints = [
            ...createEndpoints(
                "a",
                "1 a100 25-50",
                "3 l4 70-80",
                "2 v100 50-55",
                "2 v100 55-60",
                "1 v100 60-65",
                "1 v100 65-70",
            ),
            ...createEndpoints(
                "b",
                "1 a100 0-25",
                "1 a100 25-50",
                ...secondV100s.map(text => `1 ${text}`),
                "1 l4 70-80",
            ),
        ];
        const replay = replayPlacement(secondColumns, endpoints);
        assert.ok(isComplete(replay.endpoints, "a"));
        assert.equal(replay.loads.length, 5);
        assert.deepEqual(replay.broken, []);
    });

    // Guards against a fleet without a complete chain, and against the data centre that lacks least giving up a column.
    it("moves an endpoint whose column is held elsewhere to a column that the fleet lacks, where most is lacking", () => {
        const endpoints = [
            ...createEndpoints("a", "1 a100 30-60", ...v100s.map(text => `1 ${text}`), "1 l4 78-80"),
            ...createEndpoints("b", "1 a100 30-60", "1 v100 60-66", "1 l4 78-80"),
        ];
        assert.deepEqual(assignLayers(replayModel, firstColumns, endpoints), {
            assignments: [],
            moves: [{ endpointId: "b-a100-0-0", layers: { start: 0, end: 30 }, purpose: MovePurpose.FleetLacks }],
        });
        assert.ok(isComplete(replayPlacement(firstColumns, endpoints).endpoints));
        assert.deepEqual(assignLayers(replayModel, firstColumns, endpoints.slice(0, 5)).moves, []);
    });

    // Guards against a data centre that waits for the move of another one, and against moves while replicas are loading.
    it("moves one endpoint in each data centre that lacks columns, once the other replica of its column is loaded", () => {
        const holders = ["1 a100 0-30", "1 a100 30-60", "2 v100 60-66", "1 l4 78-80"];
        const endpoints = [
            ...createEndpoints("a", ...holders, "1 v100 66-72"),
            ...createEndpoints("b", ...holders, "1 v100 72-78"),
        ];
        const { moves } = assignLayers(replayModel, firstColumns, endpoints);
        const targets = moves.map(({ endpointId, layers }) => [endpointId[0], layers.start]);
        assert.deepEqual(targets, [["a", 72], ["b", 66]]);
        assert.ok(moves.every(({ purpose }) => purpose === MovePurpose.DataCentreLacks));
        const loading = endpoints.map(endpoint => ({ ...endpoint, isBusy: endpoint.id.endsWith("v100-2-0") }));
        assert.deepEqual(assignLayers(replayModel, firstColumns, loading).moves, []);
    });

    for (
        const [name, fleet, columns] of [
            ["first", firstFleet, firstColumns],
            ["second", secondFleet, secondColumns],
        ] as const
    ) {
        it(`completes each data centre that can be after random losses, with few loads: ${name} fleet`, () => {
            for (let seed = 1; seed <= 20; seed++) {
                const endpoints = loseEndpoints(fleet, seed);
                const replay = replayPlacement(columns, endpoints);
                const minimums = ["a", "b", "c"].map(dataCentre => {
                    const local = endpoints.filter(endpoint => endpoint.dataCentre === dataCentre);
                    const minimum = getMinimumLoads(local, columns);
                    assert.equal(isComplete(replay.endpoints, dataCentre), minimum < Infinity, `${seed} ${dataCentre}`);
                    return minimum;
                });
                const loads = replay.first?.loads.filter(id => id.startsWith(replay.first!.dataCentre)).length ?? 0;
                assert.ok(loads <= Math.min(...minimums) + 1, `${seed}`);
                assert.deepEqual(replay.broken, [], `${seed}`);
                assert.ok(replay.loads.length <= endpoints.length, `${seed}`);
            }
        });

        // Guards against moves that undo each other while endpoints leave and return.
        it(`completes the data centres again after each endpoint was replaced: ${name} fleet`, () => {
            let endpoints = fleet;
            let loads = 0;
            for (const replaced of fleet) {
                const remaining = replayPlacement(columns, endpoints.filter(({ id }) => id !== replaced.id));
                const replay = replayPlacement(columns, [...remaining.endpoints, { ...replaced, layers: undefined }]);
                assert.deepEqual([...remaining.broken, ...replay.broken], [], replaced.id);
                endpoints = replay.endpoints;
                loads += remaining.loads.length + replay.loads.length;
            }
            assert.ok(["a", "b", "c"].every(dataCentre => isComplete(endpoints, dataCentre)));
            assert.ok(loads <= 2 * fleet.length, String(loads));
        });
    }
});
