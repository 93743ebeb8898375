import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { countMissingLayers } from "../../../src/process/orders/countMissingLayers.ts";
import { EngineGrace } from "../../../src/process/orders/engineGrace.ts";
import type { ObservedEngine } from "../../../src/process/orders/observedEngine.ts";
import { planOrders } from "../../../src/process/orders/planOrders.ts";
import { createTestConfiguration } from "./createTestConfiguration.ts";

type PlanOptions = Parameters<typeof planOrders>[0];

const large = (start: number, end: number) => ({ model: "large", start, end });
const small = { model: "small", start: 0, end: 4 };
const layers = { a: [large(0, 4)], b: [large(4, 8)], c: [large(8, 12)], d: [small], e: [small], f: [] };

function createEngines(change: Record<string, Partial<ObservedEngine>> = {}): ObservedEngine[] {
    return Object.entries(layers).map(([endpoint, held]) => ({
        endpoint,
        layers: held,
        isHolder: true,
        isServing: true,
        isSteady: true,
        ...change[endpoint],
    }));
}

function plan(change: Partial<PlanOptions>, free: Record<string, number> = { a: 8_000, d: 9_000, e: 8_000 }) {
    const freePositions = new Map(Object.entries(free));
    const configuration = createTestConfiguration(layers);
    const common = { configuration, freePositions, loads: [], excluded: new Set<string>(), slots: 9, wantedHolders: 1 };
    return planOrders({ ...common, engines: createEngines(), ...change });
}

const gone = { isHolder: false, isServing: false, isSteady: false };

describe("planOrders", () => {
    function doTest(name: string, options: Parameters<typeof plan>, expected: ReturnType<typeof planOrders>): void {
        it(name, () => assert.deepEqual(plan(...options), expected));
    }

    doTest("plans nothing while every layer has its holder", [{}], []);
    doTest("gives a lost range to the engine with most room", [{ engines: createEngines({ b: gone }) }], [
        { endpoint: "d", range: large(4, 8) },
    ]);
    doTest("goes first to engines that no other model rests on alone", [{
        engines: createEngines({ b: gone, e: gone }),
    }, {
        d: 90_000,
        a: 10,
    }], [{ endpoint: "a", range: large(4, 8) }]);
    doTest("keeps to the budget, and gives an engine one load", [{
        engines: createEngines({ a: gone, b: gone, c: gone }),
        slots: 2,
    }], [{ endpoint: "d", range: large(0, 4) }, { endpoint: "e", range: large(4, 8) }]);
    doTest("counts a load under way as a holder", [{
        engines: createEngines({ b: gone }),
        loads: [{ endpoint: "f", range: large(4, 8) }],
    }], []);
    doTest("puts ranges without a holder before further holders, which need room", [{
        engines: createEngines({ c: gone }),
        wantedHolders: 2,
    }, { d: 90_000, e: 10, f: 20_000 }], [
        { endpoint: "d", range: large(8, 12) },
        { endpoint: "f", range: large(0, 4) },
    ]);

    it("only adds, and only at serving, steady engines that were read, never beyond the budget or twice", () => {
        const names = Object.keys(layers);
        const state = fc.constantFrom("serving" as const, "leaving" as const, "unreachable" as const);
        const states = fc.tuple(...names.map(() => fc.tuple(state, state)));
        const free = fc.dictionary(fc.constantFrom(...names), fc.nat(20_000));
        const property = fc.property(states, free, fc.nat(3), fc.integer({ min: 1, max: 3 }), (...input) => {
            const [known, freePositions, slots, wantedHolders] = input;
            const grace = EngineGrace.create(1_000);
            const observe = (index: 0 | 1) =>
                Object.entries(layers).map(([endpoint, held], engine) => ({
                    endpoint,
                    layers: held,
                    state: known[engine]?.[index] ?? "unreachable",
                }));
            grace.observe(observe(0), 0);
            const engines = grace.observe(observe(1), 1_500);
            const planned = plan({ engines, slots, wantedHolders }, freePositions);
            assert.ok(planned.length <= slots);
            assert.equal(new Set(planned.map(load => load.endpoint)).size, planned.length);
            for (const { endpoint, range, ...others } of planned) {
                assert.deepEqual(known[names.indexOf(endpoint)], ["serving", "serving"]);
                assert.ok(freePositions[endpoint] !== undefined && range.end > range.start);
                assert.ok(countMissingLayers(layers[endpoint as keyof typeof layers], range) > 0);
                assert.deepEqual(others, {});
            }
        });
        fc.assert(property, { seed: 20261202, numRuns: 500 });
    });
});

describe("EngineGrace", () => {
    it("waits before an engine counts as gone or back, without its own pauses, and not where it is leaving", () => {
        const grace = EngineGrace.create(3_000);
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
