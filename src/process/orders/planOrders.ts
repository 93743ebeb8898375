import type { Configuration } from "../../version/configuration.ts";
import { findShortages } from "./findShortages.ts";
import { LayerCoverage } from "./layerCoverage.ts";
import { LoadTargets } from "./loadTargets.ts";
import type { ObservedEngine } from "./observedEngine.ts";
import type { PlannedLoad } from "./plannedLoad.ts";

/** What a plan is made from. */
interface PlanOptions {
    configuration: Configuration;
    engines: readonly ObservedEngine[];
    /** Positions that still fit in an engine's memory, by name; an engine that is absent is not chosen. */
    freePositions: ReadonlyMap<string, number>;
    /** Loads under way. Their ranges count as held, and their engines get no second load. */
    loads: readonly PlannedLoad[];
    /** Engines that must not be chosen. */
    excluded: ReadonlySet<string>;
    /** Loads that may be started now. */
    slots: number;
    /** Engines that each layer should have. */
    wantedHolders: number;
}

/**
 * Plans which engines are to load which ranges: those without any holder first, one load for an engine. A plan only adds:
 * there is no order that takes layers away, so no last holder can lose its own, and an order that comes late or twice
 * does no harm.
 * @param options - What is known now.
 */
export function planOrders(options: PlanOptions): PlannedLoad[] {
    const { configuration, engines, freePositions, loads, slots, wantedHolders } = options;
    const coverage = LayerCoverage.create(configuration.models, engines, loads);
    const targets = LoadTargets.create({ configuration, engines, coverage, freePositions });
    const excluded = new Set(options.excluded);
    for (const { endpoint } of loads) {
        excluded.add(endpoint);
    }
    const planned: PlannedLoad[] = [];
    for (const shortage of findShortages(configuration, coverage, wantedHolders)) {
        if (planned.length >= slots) {
            break;
        }
        const endpoint = targets.choose(shortage, excluded);
        if (endpoint !== undefined) {
            planned.push({ endpoint, range: shortage.range });
            excluded.add(endpoint);
        }
    }
    return planned;
}
