import type { ChainStage } from "./chain.ts";
import type { HolderCosts } from "./holderCosts.ts";
import type { LayeredGraph } from "./layeredGraph.ts";
import type { LayerHolder } from "./layerHolder.ts";

/**
 * Shortest path over a layered graph. The node drives every hop, so what a stage costs does not depend on the stage
 * before it: one value a boundary and one a holder suffice, and a search takes (intervals x candidates) steps.
 * Keeps its working arrays between searches.
 */
export class ChainSearch {
    private readonly graph: LayeredGraph;
    /** Least cost of reaching each boundary with all activations at the node. */
    private readonly reached: Float64Array;
    /** Holder of the last stage before each boundary. */
    private readonly lastHolder: Int32Array;
    /** Boundary where the last stage before each boundary starts. */
    private readonly lastStart: Int32Array;
    /** Least cost of having run up to the present boundary, with the activations still at the holder. */
    private readonly running: Float64Array;
    private readonly runningStart: Int32Array;

    private constructor(graph: LayeredGraph) {
        this.graph = graph;
        this.reached = new Float64Array(graph.boundaries.length);
        this.lastHolder = new Int32Array(graph.boundaries.length);
        this.lastStart = new Int32Array(graph.boundaries.length);
        this.running = new Float64Array(graph.holders.length);
        this.runningStart = new Int32Array(graph.holders.length);
    }

    /**
     * Creates a search over one graph.
     * @param graph - Graph to search.
     */
    static create(graph: LayeredGraph): ChainSearch {
        return new ChainSearch(graph);
    }

    /**
     * Finds the cheapest chain of the given holders.
     * @param candidates - Indices of the holders that may be used.
     * @param costs - Costs of at least these holders.
     * @returns The stages, or undefined where the candidates leave a layer uncovered.
     */
    findChain(candidates: readonly number[], costs: HolderCosts): ChainStage[] | undefined {
        for (const holder of candidates) {
            this.running[holder] = Infinity;
        }
        for (let interval = 0; interval < this.graph.intervals; interval++) {
            if (!this.advance(interval, candidates, costs)) {
                return undefined;
            }
        }
        return this.collectStages();
    }

    /** Carries all candidates that hold an interval over it; false where there are none. */
    private advance(interval: number, candidates: readonly number[], costs: HolderCosts): boolean {
        const { graph, reached, running, runningStart } = this;
        const isLast = interval === graph.intervals - 1;
        const layers = graph.getLayer(interval + 1) - graph.getLayer(interval);
        const entry = reached[interval] as number;
        let best = Infinity;
        for (const index of candidates) {
            const holder = graph.holders[index] as LayerHolder;
            if (holder.firstInterval > interval || holder.endInterval <= interval) {
                continue;
            }
            const transfer = costs.transfer[index] as number;
            const entering = entry + (costs.stage[index] as number) + (interval === 0 ? 0 : transfer);
            if (entering < (running[index] as number)) {
                running[index] = entering;
                runningStart[index] = interval;
            }
            const finished = (running[index] as number) + (costs.layer[index] as number) * layers;
            running[index] = finished;
            const leaving = isLast ? finished : finished + transfer;
            if (leaving < best) {
                best = leaving;
                this.lastHolder[interval + 1] = index;
                this.lastStart[interval + 1] = runningStart[index] as number;
            }
        }
        reached[interval + 1] = best;
        return best < Infinity;
    }

    private collectStages(): ChainStage[] {
        const stages: ChainStage[] = [];
        let boundary = this.graph.intervals;
        while (boundary > 0) {
            const start = this.lastStart[boundary] as number;
            const holder = this.graph.holders[this.lastHolder[boundary] as number] as LayerHolder;
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
