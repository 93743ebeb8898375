import type { LayerHolder } from "./layerHolder.ts";

/** A layer range that an endpoint holds of the graph's model. */
export interface HeldRange {
    endpoint: string;
    start: number;
    end: number;
}

/**
 * The layered graph of one model. Its vertices are the layer boundaries: the starts and ends of all held ranges.
 * The layers between two neighbouring boundaries are an interval; a stage is a run of intervals on one holder, so an
 * endpoint that holds layers 0 to 16 may serve 4 to 16 where 4 is a boundary. Never changes after its creation.
 */
export class LayeredGraph {
    /** Layer numbers, ascending, from 0 to the model's number of layers. */
    readonly boundaries: readonly number[];
    readonly holders: readonly LayerHolder[];
    /** For each interval, the indices of the holders that hold it. */
    readonly holdersOfInterval: readonly (readonly number[])[];

    private constructor(boundaries: readonly number[], holders: readonly LayerHolder[]) {
        this.boundaries = boundaries;
        this.holders = holders;
        this.holdersOfInterval = boundaries.slice(1).map((_, interval) =>
            holders.flatMap((holder, index) =>
                holder.firstInterval <= interval && interval < holder.endInterval ? [index] : []
            )
        );
    }

    /**
     * Builds the graph.
     * @param layers - Number of layers of the model.
     * @param ranges - Ranges that endpoints hold, in any order; those of one endpoint may touch or overlap.
     */
    static create(layers: number, ranges: readonly HeldRange[]): LayeredGraph {
        const merged = mergeRanges(layers, ranges);
        const layerNumbers = new Set([0, layers, ...merged.flatMap(range => [range.start, range.end])]);
        const boundaries = [...layerNumbers].sort((a, b) => a - b);
        const intervalOf = new Map(boundaries.map((layer, index) => [layer, index]));
        const holders = merged.map(range => ({
            endpoint: range.endpoint,
            firstInterval: intervalOf.get(range.start) ?? 0,
            endInterval: intervalOf.get(range.end) ?? 0,
            layers: range.end - range.start,
        }));
        return new LayeredGraph(boundaries, holders);
    }

    /** Number of intervals. */
    get intervals(): number {
        return this.boundaries.length - 1;
    }

    /** Gets the layer at a boundary. */
    getLayer(boundary: number): number {
        return this.boundaries[boundary] ?? 0;
    }

    /**
     * Finds the first layer that no usable holder holds.
     * @param isUsable - Tells by a holder's index whether it may be used.
     * @returns The layer, or undefined where all layers are held.
     */
    findMissingLayer(isUsable: (holder: number) => boolean): number | undefined {
        for (const [interval, holders] of this.holdersOfInterval.entries()) {
            if (!holders.some(isUsable)) {
                return this.getLayer(interval);
            }
        }
        return undefined;
    }
}

/** Cuts ranges to the model and joins those of one endpoint that touch or overlap. */
function mergeRanges(layers: number, ranges: readonly HeldRange[]): HeldRange[] {
    const cut = ranges
        .map(range => ({ ...range, start: Math.max(0, range.start), end: Math.min(layers, range.end) }))
        .filter(range => range.start < range.end)
        .sort((a, b) => a.endpoint < b.endpoint ? -1 : a.endpoint > b.endpoint ? 1 : a.start - b.start);
    const merged: HeldRange[] = [];
    for (const range of cut) {
        const last = merged.at(-1);
        if (last?.endpoint === range.endpoint && range.start <= last.end) {
            last.end = Math.max(last.end, range.end);
        }
        else {
            merged.push(range);
        }
    }
    return merged;
}
