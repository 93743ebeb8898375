import type { Configuration } from "../../version/configuration.ts";
import type { LayerCoverage } from "./layerCoverage.ts";
import type { RangeShortage } from "./rangeShortage.ts";

/**
 * Finds the ranges of layers that too few engines hold, ordered by ascending number of holders. Only models that a
 * service uses are considered. A range is split where configured ranges start or end, and is no longer than the longest
 * configured range, so that one engine can load it.
 * @param configuration - Current configuration.
 * @param coverage - Engines that hold each layer.
 * @param wantedHolders - Number of engines that should hold each layer.
 */
export function findShortages(
    configuration: Configuration,
    coverage: LayerCoverage,
    wantedHolders: number,
): RangeShortage[] {
    const maximumLength = getLongestRange(configuration);
    const shortages: RangeShortage[] = [];
    for (const model of getUsedModels(configuration)) {
        const boundaries = getBoundaries(configuration, model);
        const layers = configuration.models[model]?.layers ?? 0;
        let last: RangeShortage | undefined;
        for (let layer = 0; layer < layers; layer += 1) {
            const holderCount = coverage.countHolders(model, layer);
            if (holderCount >= wantedHolders) {
                last = undefined;
                continue;
            }
            const isFull = last !== undefined && last.range.end - last.range.start >= maximumLength;
            if (last === undefined || last.holderCount !== holderCount || boundaries.has(layer) || isFull) {
                last = { range: { model, start: layer, end: layer }, holderCount };
                shortages.push(last);
            }
            last.range.end = layer + 1;
        }
    }
    // The sort is stable, so ranges with equally many holders stay in the order of models and layers.
    return shortages.sort((left, right) => left.holderCount - right.holderCount);
}

function getUsedModels(configuration: Configuration): Set<string> {
    const models = new Set<string>();
    for (const service of Object.values(configuration.services)) {
        if (service.kind === "model") {
            models.add(service.model);
        }
    }
    return models;
}

function getBoundaries(configuration: Configuration, model: string): Set<number> {
    const boundaries = new Set<number>();
    for (const { layers } of Object.values(configuration.endpoints)) {
        for (const range of layers) {
            if (range.model === model) {
                boundaries.add(range.start).add(range.end);
            }
        }
    }
    return boundaries;
}

function getLongestRange(configuration: Configuration): number {
    let maximumLength = 0;
    for (const { layers } of Object.values(configuration.endpoints)) {
        for (const range of layers) {
            maximumLength = Math.max(maximumLength, range.end - range.start);
        }
    }
    return maximumLength === 0 ? Infinity : maximumLength;
}
