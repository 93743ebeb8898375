import type { Configuration } from "../../version/configuration.ts";
import { findShortages } from "./findShortages.ts";
import { LayerCoverage } from "./layerCoverage.ts";
import { LoadTargetSelector } from "./loadTargetSelector.ts";
import type { ObservedEngine } from "./observedEngine.ts";
import type { PlannedLoad } from "./plannedLoad.ts";

/** Input of {@link planOrders}. */
interface PlanOptions {
    configuration: Configuration;
    engines: readonly ObservedEngine[];
    /** Positions that still fit in each engine's memory, by endpoint name. An engine that is absent is not chosen. */
    freePositions: ReadonlyMap<string, number>;
    /** Loads in progress. Their ranges count as held, and their engines are given no second load. */
    loads: readonly PlannedLoad[];
    /** Engines that must not be chosen. */
    excluded: ReadonlySet<string>;
    /** Number of loads that may start now. */
    slots: number;
    /** Number of engines that should hold each layer. */
    wantedHolders: number;
}

/**
 * Plans which engines load which ranges, starting with ranges that no engine holds, with at most one load per engine. A
 * plan never removes layers, so a layer can't lose its last holder, and orders that arrive late or twice are harmless.
 * @param options - Current state of the engines and limits of the plan.
 */
export function planOrders(options: PlanOptions): PlannedLoad[] {
    const { configuration, engines, freePositions, loads, slots, wantedHolders } = options;
    const coverage = LayerCoverage.create(configuration.models, engines, loads);
    const targetSelector = LoadTargetSelector.create({ configuration, engines, coverage, freePositions });
    const excluded = new Set(options.excluded);
    for (const { endpoint } of loads) {
        excluded.add(endpoint);
    }
    const planned: PlannedLoad[] = [];
    for (const shortage of findShortages(configuration, coverage, wantedHolders)) {
        if (planned.length >= slots) {
            break;
        }
        const endpoint = targetSelector.select(shortage, excluded);
        if (endpoint !== undefined) {
            planned.push({ endpoint, range: shortage.range });
            excluded.add(endpoint);
        }
    }
    return planned;
}
