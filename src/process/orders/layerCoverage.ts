import type { Configuration, LayerRange } from "../../version/configuration.ts";
import type { ObservedEngine } from "./observedEngine.ts";
import type { PlannedLoad } from "./plannedLoad.ts";

/** Index of the engines that hold each layer of each model. */
export class LayerCoverage {
    private readonly holders = new Map<string, Set<string>[]>();

    private constructor(models: Configuration["models"]) {
        for (const [model, { layers }] of Object.entries(models)) {
            this.holders.set(model, Array.from({ length: layers }, () => new Set<string>()));
        }
    }

    /**
     * Creates the index.
     * @param models - Models of the configuration; layers beyond their number of layers are ignored.
     * @param engines - Engines; only those that count as holders are included.
     * @param loads - Loads in progress, which count as completed.
     */
    static create(
        models: Configuration["models"],
        engines: readonly ObservedEngine[],
        loads: readonly PlannedLoad[],
    ): LayerCoverage {
        const coverage = new LayerCoverage(models);
        for (const { endpoint, layers, isHolder } of engines) {
            for (const range of isHolder ? layers : []) {
                coverage.add(endpoint, range);
            }
        }
        for (const { endpoint, range } of loads) {
            coverage.add(endpoint, range);
        }
        return coverage;
    }

    /** Counts the engines that hold a layer. */
    countHolders(model: string, layer: number): number {
        return this.holders.get(model)?.[layer]?.size ?? 0;
    }

    /** Checks if an engine is the only holder of any layer of a model other than the given one. */
    isSoleHolderOfOtherModel({ endpoint, layers }: ObservedEngine, model: string): boolean {
        for (const range of layers) {
            for (const holders of range.model === model ? [] : this.getHolderSets(range)) {
                if (holders.size === 1 && holders.has(endpoint)) {
                    return true;
                }
            }
        }
        return false;
    }

    private add(endpoint: string, range: LayerRange): void {
        for (const holders of this.getHolderSets(range)) {
            holders.add(endpoint);
        }
    }

    private getHolderSets({ model, start, end }: LayerRange): Set<string>[] {
        return this.holders.get(model)?.slice(start, end) ?? [];
    }
}
