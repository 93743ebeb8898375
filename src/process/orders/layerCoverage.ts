import type { Configuration, LayerRange } from "../../version/configuration.ts";
import type { ObservedEngine } from "./observedEngine.ts";
import type { PlannedLoad } from "./plannedLoad.ts";

/** Which engines hold each layer of each model. */
export class LayerCoverage {
    private readonly holders = new Map<string, Set<string>[]>();

    private constructor(models: Configuration["models"]) {
        for (const [model, { layers }] of Object.entries(models)) {
            this.holders.set(model, Array.from({ length: layers }, () => new Set<string>()));
        }
    }

    /**
     * Creates the coverage.
     * @param models - Models of the configuration; layers that they do not have are passed over.
     * @param engines - Engines, of which those that are holders count.
     * @param loads - Loads under way, which count as if they were done.
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

    /** Whether an engine is the only one that holds some layer of another model than the given one. */
    isOnlyHolderBeside({ endpoint, layers }: ObservedEngine, model: string): boolean {
        for (const range of layers) {
            for (const holders of range.model === model ? [] : this.getRange(range)) {
                if (holders.size === 1 && holders.has(endpoint)) {
                    return true;
                }
            }
        }
        return false;
    }

    private add(endpoint: string, range: LayerRange): void {
        for (const holders of this.getRange(range)) {
            holders.add(endpoint);
        }
    }

    private getRange({ model, start, end }: LayerRange): Set<string>[] {
        return this.holders.get(model)?.slice(start, end) ?? [];
    }
}
