import type { ChainStage } from "./chain.ts";
import type { HolderCosts } from "./holderCosts.ts";
import type { LayeredGraph } from "./layeredGraph.ts";
import type { LayerHolder } from "./layerHolder.ts";

/**
 * Finds the shortest path in a layered graph. The activations return to the node after every stage, so the cost of a
 * stage does not depend on the stage before it. One value per boundary and one per holder are therefore enough, and a
 * search takes O(intervals * candidates) time. The working arrays are reused between searches.
 */
export class ChainSearch {
    private readonly graph: LayeredGraph;
    /** Lowest cost of reaching each boundary with the activations at the node. */
    private readonly costsAtNode: Float64Array;
    /** Holder of the last stage before each boundary, on the path with the lowest cost. */
    private readonly lastHolders: Int32Array;
    /** Start boundary of the last stage before each boundary. */
    private readonly lastStarts: Int32Array;
    /** Lowest cost of reaching the current boundary with the activations still at each holder. */
    private readonly costsAtHolder: Float64Array;
    /** Start boundary of each holder's current stage. */
    private readonly stageStarts: Int32Array;

    private constructor(graph: LayeredGraph) {
        this.graph = graph;
        this.costsAtNode = new Float64Array(graph.boundaries.length);
        this.lastHolders = new Int32Array(graph.boundaries.length);
        this.lastStarts = new Int32Array(graph.boundaries.length);
        this.costsAtHolder = new Float64Array(graph.holders.length);
        this.stageStarts = new Int32Array(graph.holders.length);
    }

    /**
     * Creates a search in one graph.
     * @param graph - Graph to search.
     */
    static create(graph: LayeredGraph): ChainSearch {
        return new ChainSearch(graph);
    }

    /**
     * Finds the chain with the lowest cost.
     * @param candidates - Indices of the holders that may be used.
     * @param costs - Costs of the candidates. Other holders' costs are ignored.
     * @returns The stages, or undefined if the candidates do not cover all layers.
     */
    findChain(candidates: readonly number[], costs: HolderCosts): ChainStage[] | undefined {
        for (const holder of candidates) {
            this.costsAtHolder[holder] = Infinity;
        }
        for (let interval = 0; interval < this.graph.intervalCount; interval++) {
            if (!this.advanceInterval(interval, candidates, costs)) {
                return undefined;
            }
        }
        return this.collectStages();
    }

    /** Extends the paths of all candidates that hold an interval by that interval. Returns false if there are none. */
    private advanceInterval(interval: number, candidates: readonly number[], costs: HolderCosts): boolean {
        const { graph, costsAtNode, costsAtHolder, stageStarts } = this;
        const isLast = interval === graph.intervalCount - 1;
        const layers = graph.getLayer(interval + 1) - graph.getLayer(interval);
        const entryCost = costsAtNode[interval] as number;
        let lowestCost = Infinity;
        for (const index of candidates) {
            const holder = graph.holders[index] as LayerHolder;
            if (holder.firstInterval > interval || holder.endInterval <= interval) {
                continue;
            }
            const transfer = costs.transferMilliseconds[index] as number;
            const newStageCost = entryCost + (costs.stageMilliseconds[index] as number)
                + (interval === 0 ? 0 : transfer);
            if (newStageCost < (costsAtHolder[index] as number)) {
                costsAtHolder[index] = newStageCost;
                stageStarts[index] = interval;
            }
            const costAfterInterval = (costsAtHolder[index] as number)
                + (costs.layerMilliseconds[index] as number) * layers;
            costsAtHolder[index] = costAfterInterval;
            const costAtBoundary = isLast ? costAfterInterval : costAfterInterval + transfer;
            if (costAtBoundary < lowestCost) {
                lowestCost = costAtBoundary;
                this.lastHolders[interval + 1] = index;
                this.lastStarts[interval + 1] = stageStarts[index] as number;
            }
        }
        costsAtNode[interval + 1] = lowestCost;
        return lowestCost < Infinity;
    }

    private collectStages(): ChainStage[] {
        const stages: ChainStage[] = [];
        let boundary = this.graph.intervalCount;
        while (boundary > 0) {
            const start = this.lastStarts[boundary] as number;
            const holder = this.graph.holders[this.lastHolders[boundary] as number] as LayerHolder;
            stages.push({
                endpoint: holder.endpoint,
                layerStart: this.graph.getLayer(start),
                layerEnd: this.graph.getLayer(boundary),
            });
            boundary = start;
        }
        return stages.reverse();
    }
}
