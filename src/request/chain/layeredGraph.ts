import type { LayerHolder } from "./layerHolder.ts";

/** A range of the model's layers that an endpoint holds, from `start` up to but not including `end`. */
export interface HeldRange {
    endpoint: string;
    start: number;
    end: number;
}

/**
 * The layered graph of one model. Its vertices are the layer boundaries: 0, the model's number of layers, and the starts and
 * ends of all held ranges. The layers between two adjacent boundaries form an interval. A stage consists of consecutive intervals on one holder,
 * so an endpoint that holds layers 0 to 16 may serve layers 4 to 16 if 4 is a boundary. The graph is immutable.
 */
export class LayeredGraph {
    /** Layer numbers in ascending order, from 0 to the model's number of layers. */
    readonly boundaries: readonly number[];
    /** Holders in ascending order of endpoint name and first layer. A holder's index is its index in this array. */
    readonly holders: readonly LayerHolder[];
    /** Indices of the holders of each interval. */
    readonly holderIndicesByInterval: readonly (readonly number[])[];

    private constructor(boundaries: readonly number[], holders: readonly LayerHolder[]) {
        this.boundaries = boundaries;
        this.holders = holders;
        this.holderIndicesByInterval = boundaries.slice(1).map((_, interval) =>
            holders.flatMap((holder, index) =>
                holder.firstInterval <= interval && interval < holder.endInterval ? [index] : []
            )
        );
    }

    /**
     * Creates the graph.
     * @param layers - Number of layers of the model.
     * @param ranges - Ranges that the endpoints hold, in any order. Parts outside the model's layers are ignored.
     * Adjacent or overlapping ranges of one endpoint are merged into one holder.
     */
    static create(layers: number, ranges: readonly HeldRange[]): LayeredGraph {
        const merged = mergeRanges(layers, ranges);
        const layerNumbers = new Set([0, layers, ...merged.flatMap(range => [range.start, range.end])]);
        const boundaries = [...layerNumbers].sort((a, b) => a - b);
        const boundaryIndices = new Map(boundaries.map((layer, index) => [layer, index]));
        const holders = merged.map(range => ({
            endpoint: range.endpoint,
            firstInterval: boundaryIndices.get(range.start) ?? 0,
            endInterval: boundaryIndices.get(range.end) ?? 0,
            layers: range.end - range.start,
        }));
        return new LayeredGraph(boundaries, holders);
    }

    /** Gets the number of intervals. */
    get intervalCount(): number {
        return this.boundaries.length - 1;
    }

    /**
     * Gets the layer number at a boundary.
     * @param boundary - Index in {@link LayeredGraph.boundaries}. The boundary with an interval's index is its start.
     */
    getLayer(boundary: number): number {
        return this.boundaries[boundary] ?? 0;
    }

    /**
     * Finds the first layer without a usable holder.
     * @param isUsable - Checks if the holder with the given index in {@link LayeredGraph.holders} may be used.
     * @returns The layer, or undefined if there is no such layer.
     */
    findMissingLayer(isUsable: (holder: number) => boolean): number | undefined {
        for (const [interval, holders] of this.holderIndicesByInterval.entries()) {
            if (!holders.some(isUsable)) {
                return this.getLayer(interval);
            }
        }
        return undefined;
    }
}

/** Clips ranges to the model's layers and merges adjacent or overlapping ranges of the same endpoint. */
function mergeRanges(layers: number, ranges: readonly HeldRange[]): HeldRange[] {
    const clipped = ranges
        .map(range => ({ ...range, start: Math.max(0, range.start), end: Math.min(layers, range.end) }))
        .filter(range => range.start < range.end)
        .sort((a, b) => a.endpoint < b.endpoint ? -1 : a.endpoint > b.endpoint ? 1 : a.start - b.start);
    const merged: HeldRange[] = [];
    for (const range of clipped) {
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
