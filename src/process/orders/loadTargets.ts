import { StepTimeEstimator } from "../../request/chain/stepTimeEstimator.ts";
import type { Configuration } from "../../version/configuration.ts";
import { countMissingLayers } from "./countMissingLayers.ts";
import type { LayerCoverage } from "./layerCoverage.ts";
import type { ObservedEngine } from "./observedEngine.ts";
import type { RangeShortage } from "./rangeShortage.ts";

/** Settings of {@link LoadTargets}. */
interface LoadTargetsOptions {
    configuration: Configuration;
    engines: readonly ObservedEngine[];
    coverage: LayerCoverage;
    /** Positions that still fit in an engine's memory, by name; an engine that is absent is not chosen. */
    freePositions: ReadonlyMap<string, number>;
}

/** An engine that could load a range, with what speaks for it. */
interface RankedEngine {
    endpoint: string;
    /** Whether loading more takes room from no layer of another model that only this engine holds. */
    leavesOthersCovered: boolean;
    /** Whether the model has other layers in the engine's region. */
    isNear: boolean;
    /** Positions that still fit after the load, by milliseconds of a step for one layer. */
    score: number;
}

/** Chooses the engine that loads a range. */
export class LoadTargets {
    private readonly options: LoadTargetsOptions;
    private readonly estimator = StepTimeEstimator.create();

    private constructor(options: LoadTargetsOptions) {
        this.options = options;
        for (const [name, endpoint] of Object.entries(options.configuration.endpoints)) {
            if (endpoint.kind === "engine") {
                this.estimator.addEndpoint(name, endpoint.accelerator ?? "", endpoint.stepMillisecondsPerLayer);
            }
        }
    }

    /** Creates the choice for one plan. */
    static create(options: LoadTargetsOptions): LoadTargets {
        return new LoadTargets(options);
    }

    /**
     * Chooses the engine for a range; undefined where none can load it.
     * @param shortage - The range.
     * @param excluded - Engines that must not be chosen.
     */
    choose(shortage: RangeShortage, excluded: ReadonlySet<string>): string | undefined {
        const regions = this.getRegions(shortage.range.model);
        let best: RankedEngine | undefined;
        for (const engine of this.options.engines) {
            const ranked = excluded.has(engine.endpoint) ? undefined : this.rank(engine, shortage, regions);
            if (ranked !== undefined && (best === undefined || isBetter(ranked, best))) {
                best = ranked;
            }
        }
        return best?.endpoint;
    }

    private rank(engine: ObservedEngine, shortage: RangeShortage, regions: Set<string>): RankedEngine | undefined {
        const { configuration, coverage, freePositions } = this.options;
        const { endpoint, layers, isSteady } = engine;
        const free = freePositions.get(endpoint);
        const added = countMissingLayers(layers, shortage.range);
        if (!isSteady || free === undefined || added === 0 || configuration.endpoints[endpoint]?.kind !== "engine") {
            return undefined;
        }
        const present = layers.reduce((sum, range) => sum + range.end - range.start, 0);
        const room = Math.max(0, free) * Math.max(1, present) / (present + added);
        // A model that lacks a layer serves nobody, so its range goes to a full engine too; a further holder does not.
        if (shortage.holders > 0 && room < configuration.limits.maximumTokens) {
            return undefined;
        }
        return {
            endpoint,
            leavesOthersCovered: !coverage.isOnlyHolderBeside(engine, shortage.range.model),
            isNear: regions.has(this.getRegion(endpoint)),
            score: room / this.estimator.getEstimate(endpoint).decodeMilliseconds,
        };
    }

    /** Gets the regions in which engines hold layers of a model. */
    private getRegions(model: string): Set<string> {
        const regions = new Set<string>();
        for (const { endpoint, layers, isHolder } of this.options.engines) {
            if (isHolder && layers.some(range => range.model === model)) {
                regions.add(this.getRegion(endpoint));
            }
        }
        return regions;
    }

    private getRegion(endpoint: string): string {
        const { endpoints, dataCentres } = this.options.configuration;
        return dataCentres[endpoints[endpoint]?.dataCentre ?? ""]?.region ?? "";
    }
}

/** Compares two engines; the name decides last, so that the choice does not depend on the order of the engines. */
function isBetter(left: RankedEngine, right: RankedEngine): boolean {
    if (left.leavesOthersCovered !== right.leavesOthersCovered) {
        return left.leavesOthersCovered;
    }
    if (left.isNear !== right.isNear) {
        return left.isNear;
    }
    return left.score === right.score ? left.endpoint < right.endpoint : left.score > right.score;
}
