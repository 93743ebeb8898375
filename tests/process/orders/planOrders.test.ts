import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { countMissingLayers } from "../../../src/process/orders/countMissingLayers.ts";
import { EngineGracePeriod } from "../../../src/process/orders/engineGracePeriod.ts";
import type { ObservedEngine } from "../../../src/process/orders/observedEngine.ts";
import { planOrders } from "../../../src/process/orders/planOrders.ts";
import { createTestConfiguration } from "./createTestConfiguration.ts";

type PlanOptions = Parameters<typeof planOrders>[0];

const large = (start: number, end: number) => ({ model: "large", start, end });
const small = { model: "small", start: 0, end: 4 };
const layers = { a: [large(0, 4)], b: [large(4, 8)], c: [large(8, 12)], d: [small], e: [small], f: [] };

function createEngines(changes: Record<string, Partial<ObservedEngine>> = {}): ObservedEngine[] {
    return Object.entries(layers).map(([endpoint, held]) => ({
        endpoint,
        layers: held,
        isHolder: true,
        isServing: true,
        isSteady: true,
        ...changes[endpoint],
    }));
}

function plan(changes: Partial<PlanOptions>, free: Record<string, number> = { a: 8_000, d: 9_000, e: 8_000 }) {
    const freePositions = new Map(Object.entries(free));
    const configuration = createTestConfiguration(layers);
    const common = { configuration, freePositions, loads: [], excluded: new Set<string>(), slots: 9, wantedHolders: 1 };
    return planOrders({ ...common, engines: createEngines(), ...changes });
}

const goneEngine = { isHolder: false, isServing: false, isSteady: false };

describe("planOrders", () => {
    function doTest(name: string, options: Parameters<typeof plan>, expected: ReturnType<typeof planOrders>): void {
        it(name, () => assert.deepEqual(plan(...options), expected));
    }

    doTest("plans no loads while every layer has a holder", [{}], []);
    doTest("assigns a lost range to the engine with the most free memory", [{
        engines: createEngines({ b: goneEngine }),
    }], [
        { endpoint: "d", range: large(4, 8) },
    ]);
    doTest("prefers engines that are not the only holder of a layer of another model", [{
        engines: createEngines({ b: goneEngine, e: goneEngine }),
    }, {
        d: 90_000,
        a: 10,
    }], [{ endpoint: "a", range: large(4, 8) }]);
    doTest("plans no more loads than allowed and one load per engine", [{
        engines: createEngines({ a: goneEngine, b: goneEngine, c: goneEngine }),
        slots: 2,
    }], [{ endpoint: "d", range: large(0, 4) }, { endpoint: "e", range: large(4, 8) }]);
    doTest("counts a load in progress as a holder", [{
        engines: createEngines({ b: goneEngine }),
        loads: [{ endpoint: "f", range: large(4, 8) }],
    }], []);
    doTest("prefers ranges without a holder, and adds more holders only with enough free memory", [{
        engines: createEngines({ c: goneEngine }),
        wantedHolders: 2,
    }, { d: 90_000, e: 10, f: 20_000 }], [
        { endpoint: "d", range: large(8, 12) },
        { endpoint: "f", range: large(0, 4) },
    ]);

    it("only adds layers, on steady engines whose status was read, within the limit and once per engine", () => {
        const names = Object.keys(layers);
        const state = fc.constantFrom("serving" as const, "leaving" as const, "unreachable" as const);
        const states = fc.tuple(...names.map(() => fc.tuple(state, state)));
        const free = fc.dictionary(fc.constantFrom(...names), fc.nat(20_000));
        const property = fc.property(states, free, fc.nat(3), fc.integer({ min: 1, max: 3 }), (...input) => {
            const [observedStates, freePositions, slots, wantedHolders] = input;
            const grace = EngineGracePeriod.create(1_000);
            const observe = (index: 0 | 1) =>
                Object.entries(layers).map(([endpoint, held], engine) => ({
                    endpoint,
                    layers: held,
                    state: observedStates[engine]?.[index] ?? "unreachable",
                }));
            grace.observe(observe(0), 0);
            const engines = grace.observe(observe(1), 1_500);
            const planned = plan({ engines, slots, wantedHolders }, freePositions);
            assert.ok(planned.length <= slots);
            assert.equal(new Set(planned.map(load => load.endpoint)).size, planned.length);
            for (const { endpoint, range, ...others } of planned) {
                assert.deepEqual(observedStates[names.indexOf(endpoint)], ["serving", "serving"]);
                assert.ok(freePositions[endpoint] !== undefined && range.end > range.start);
                assert.ok(countMissingLayers(layers[endpoint as keyof typeof layers], range) > 0);
                assert.deepEqual(others, {});
            }
        });
        fc.assert(property, { seed: 20261202, numRuns: 500 });
    });
});

describe("EngineGracePeriod", () => {
    it("applies the grace period to lost and recovered engines, but not to leaving ones or its own pauses", () => {
        const grace = EngineGracePeriod.create(3_000);
        const observe = (state: "serving" | "leaving" | "unreachable", now: number) => {
            const [engine] = grace.observe([{ endpoint: "a", layers: [], state }], now);
            return [engine?.isHolder, engine?.isServing, engine?.isSteady];
        };
        assert.deepEqual(observe("serving", 0), [true, true, true]);
        assert.deepEqual(observe("unreachable", 1_000), [true, false, false]);
        assert.deepEqual(observe("unreachable", 60_000), [true, false, false]);
        assert.deepEqual(observe("unreachable", 61_000), [false, false, false]);
        assert.deepEqual(observe("serving", 62_000), [true, true, false]);
        assert.deepEqual(observe("serving", 63_000), [true, true, false]);
        assert.deepEqual(observe("serving", 65_000), [true, true, true]);
        assert.deepEqual(observe("leaving", 66_000), [false, false, false]);
        assert.deepEqual(observe("unreachable", 67_000), [false, false, false]);
        assert.deepEqual(observe("serving", 68_000), [true, true, false]);
    });
});
