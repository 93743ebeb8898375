import { StepTimeEstimator } from "../../request/chain/stepTimeEstimator.ts";
import type { Configuration } from "../../version/configuration.ts";
import { countMissingLayers } from "./countMissingLayers.ts";
import type { LayerCoverage } from "./layerCoverage.ts";
import type { ObservedEngine } from "./observedEngine.ts";
import type { RangeShortage } from "./rangeShortage.ts";

/** Options of {@link LoadTargetSelector}. */
interface LoadTargetSelectorOptions {
    configuration: Configuration;
    engines: readonly ObservedEngine[];
    coverage: LayerCoverage;
    /** Positions that still fit in each engine's memory, by endpoint name. An engine that is absent is not chosen. */
    freePositions: ReadonlyMap<string, number>;
}

/** An engine that could load a range, with its ranking criteria in descending priority. */
interface RankedEngine {
    endpoint: string;
    /**
     * Whether no layer of another model is held by this engine alone. A load leaves less memory for requests of such a
     * layer.
     */
    hasNoSoleLayers: boolean;
    /** Whether engines in the same region hold layers of the model. */
    isNear: boolean;
    /** Positions that still fit after the load, divided by the time of a decode step for one layer in milliseconds. */
    score: number;
}

/** Selects the engines that load ranges. */
export class LoadTargetSelector {
    private readonly options: LoadTargetSelectorOptions;
    private readonly estimator = StepTimeEstimator.create();

    private constructor(options: LoadTargetSelectorOptions) {
        this.options = options;
        for (const [name, endpoint] of Object.entries(options.configuration.endpoints)) {
            if (endpoint.kind === "engine") {
                this.estimator.addEndpoint(name, endpoint.accelerator ?? "", endpoint.stepMillisecondsPerLayer);
            }
        }
    }

    /** Creates an instance for one plan. */
    static create(options: LoadTargetSelectorOptions): LoadTargetSelector {
        return new LoadTargetSelector(options);
    }

    /**
     * Gets the engine that should load a range; undefined if no engine can load it.
     * @param shortage - Range that lacks holders.
     * @param excluded - Engines that must not be chosen.
     */
    select(shortage: RangeShortage, excluded: ReadonlySet<string>): string | undefined {
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
        const availablePositions = freePositions.get(endpoint);
        const addedLayers = countMissingLayers(layers, shortage.range);
        if (
            !isSteady || availablePositions === undefined || addedLayers === 0
            || configuration.endpoints[endpoint]?.kind !== "engine"
        ) {
            return undefined;
        }
        const presentLayers = layers.reduce((sum, range) => sum + range.end - range.start, 0);
        const positionsAfterLoad = Math.max(0, availablePositions) * Math.max(1, presentLayers)
            / (presentLayers + addedLayers);
        // A model can't serve without a holder for each layer, so a range without holders ignores the required memory.
        if (shortage.holderCount > 0 && positionsAfterLoad < configuration.limits.maximumTokens) {
            return undefined;
        }
        return {
            endpoint,
            hasNoSoleLayers: !coverage.isSoleHolderOfOtherModel(engine, shortage.range.model),
            isNear: regions.has(this.getRegion(endpoint)),
            score: positionsAfterLoad / this.estimator.getEstimate(endpoint).decodeMilliseconds,
        };
    }

    /** Gets the regions of the engines that hold layers of a model. */
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

/** Compares two engines. Ties are resolved by name, so that the result does not depend on the order of the engines. */
function isBetter(left: RankedEngine, right: RankedEngine): boolean {
    if (left.hasNoSoleLayers !== right.hasNoSoleLayers) {
        return left.hasNoSoleLayers;
    }
    if (left.isNear !== right.isNear) {
        return left.isNear;
    }
    return left.score === right.score ? left.endpoint < right.endpoint : left.score > right.score;
}
