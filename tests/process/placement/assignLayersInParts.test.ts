import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { assignLayers } from "../../../src/process/placement/assignLayers.ts";
import { relayModel } from "../../request/relay/relayModel.ts";

const kind = "big";
const model = {
    ...relayModel,
    layers: 8,
    layerMegabytes: 1_000,
    bytesPerToken: 800_000,
    typicalPromptTokens: 700,
    typicalAnswerTokens: 200,
    // With half of the layers, an endpoint has memory for fewer requests than it needs to be useful.
    kinds: new Map([[kind, { name: kind, memoryMegabytes: 5_000, stepFactor: 1, prefillFactor: 1 }]]),
};
const columns = [{ layers: { start: 0, end: 4 }, kind }, { layers: { start: 4, end: 8 }, kind }];

/** Decides for endpoints that hold two layers each from the given start; undefined for none. */
function decide(starts: readonly (number | undefined)[], dataCentres: readonly string[]) {
    const endpoints = starts.map((start, index) => ({
        id: String(index),
        kind,
        dataCentre: dataCentres[index]!,
        isBusy: false,
        layers: start === undefined ? undefined : { start, end: start + 2 },
    }));
    return assignLayers(model, columns, endpoints);
}

describe("assignLayers with columns in parts", () => {
    // Seed 7007 of the soak: the fleet lacked 2-4 for more than 19 s, to the end of the run, with all four endpoints up, and nothing was ordered.
    it("orders a part that the fleet lacks from an endpoint whose part has another replica", () => {
        const { assignments, moves } = decide([0, 6, 4, 6], ["a", "a", "a", "b"]);
        assert.ok(assignments.length + moves.length > 0, "No endpoint is ordered to load 2-4.");
    });

    // Seed 7007 of the soak, before: the order for 6-8, which the fleet held, left no endpoint for 2-4.
    it("assigns a free endpoint to a part that the fleet lacks before one that only its data centre lacks", () => {
        const { assignments } = decide([undefined, 4, 6], ["a", "a", "b"]);
        assert.ok(assignments.length > 0);
        assert.ok(assignments.every(({ layers }) => layers.end <= 4), JSON.stringify(assignments));
    });

    describe("after the loss of all endpoints that can hold a column as a whole", () => {
        const small = { name: "small", memoryMegabytes: 4_000, stepFactor: 2, prefillFactor: 2 };
        const large = { name: "large", memoryMegabytes: 40_000, stepFactor: 1, prefillFactor: 1 };
        const mixedModel = { ...model, kinds: new Map([["large", large], ["small", small]]) };
        const wholeColumns = [{ layers: { start: 0, end: 8 }, kind: "large" }];

        function create(starts: readonly (number | undefined)[], largeCount = 0) {
            const endpoints = starts.map((start, index) => ({
                id: `small${index}`,
                kind: "small",
                dataCentre: index % 2 === 0 ? "a" : "b",
                isBusy: false,
                layers: start === undefined ? undefined : { start, end: start + 2 },
            }));
            const whole = Array.from({ length: largeCount }, (_, index) => ({
                id: `large${index}`,
                kind: "large",
                dataCentre: "a",
                isBusy: false,
                layers: undefined,
            }));
            return [...endpoints, ...whole];
        }

        const list = (endpoints: ReturnType<typeof create>, isLossFinal: boolean) =>
            assignLayers(mixedModel, wholeColumns, endpoints, isLossFinal).assignments
                .map(({ endpointId, layers: { start, end } }) => `${endpointId.slice(0, 5)} ${start}-${end}`)
                .sort();

        // Guards against streams that are refused for good, because free endpoints hold nothing that together could hold all layers.
        it("has free endpoints take it in parts as small as their memory asks for, once the loss is final", () => {
            const endpoints = create([undefined, undefined, undefined, undefined, undefined]);
            assert.deepEqual(list(endpoints, false), []);
            assert.deepEqual(list(endpoints, true), ["small 0-2", "small 2-4", "small 4-6", "small 6-8"]);
        });

        it("completes the parts that are held, and takes none that don't complete the column", () => {
            assert.deepEqual(list(create([0, undefined, 4, undefined]), true), ["small 2-4", "small 6-8"]);
            assert.deepEqual(list(create([undefined, undefined, undefined]), true), []);
        });

        it("has an endpoint that returns take the whole column", () => {
            assert.deepEqual(list(create([0, 2, 4, 6], 1), true), ["large 0-8"]);
            assert.deepEqual(list(create([undefined, undefined, undefined, undefined], 1), true), ["large 0-8"]);
        });
    });
});
