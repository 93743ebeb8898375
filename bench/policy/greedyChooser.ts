import type { Chain, ChainStage } from "../../src/request/chain/chain.ts";
import type { ChainChooser, ChainOptions, LoadReport } from "../../src/request/chain/chainChooser.ts";
import type { NoChainError } from "../../src/request/chain/noChainError.ts";
import { Err, Ok, type Result } from "../../src/result.ts";
import type { Configuration } from "../../src/version/configuration.ts";

/** Ranks an endpoint for the next stage; the lowest rank is taken. */
export type RankEndpoint = (load: Readonly<GreedyLoad>) => number;

/** What a {@link GreedyChooser} counts of an endpoint. */
export interface GreedyLoad {
    /** Sequences of the last report. */
    reported: number;
    /** This node's sequences now. */
    own: number;
    /** Times that this node has chosen the endpoint. */
    chosen: number;
    maximumSequences: number;
}

/** A baseline: from layer 0 on, takes the lowest ranked endpoint that holds the next layer, as far as it holds. */
export class GreedyChooser implements ChainChooser {
    private readonly configuration: Configuration;
    private readonly rank: RankEndpoint;
    private readonly loads = new Map<string, GreedyLoad>();

    private constructor(configuration: Configuration, rank: RankEndpoint) {
        this.configuration = configuration;
        this.rank = rank;
        for (const [name, { maximumSequences }] of Object.entries(configuration.endpoints)) {
            this.loads.set(name, { reported: 0, own: 0, chosen: 0, maximumSequences });
        }
    }

    /**
     * Creates a chooser that knows no loads.
     * @param configuration - Endpoints and models to choose from.
     * @param rank - Ranks an endpoint by its load; the lowest is chosen.
     */
    static create(configuration: Configuration, rank: RankEndpoint): GreedyChooser {
        return new GreedyChooser(configuration, rank);
    }

    /** Chooses the stages one after the other, each for the first layer that is still missing. */
    chooseChain({ model }: ChainOptions): Result<Chain, NoChainError> {
        const layers = this.configuration.models[model]?.layers ?? 0;
        const stages: ChainStage[] = [];
        let layer = 0;
        while (layer < layers) {
            const stage = this.chooseStage(model, layer);
            if (stage === undefined) {
                return Err({ kind: "noChain", model, missingLayer: layer, message: "No endpoint holds the layer." });
            }
            stages.push(stage);
            layer = stage.layerEnd;
        }
        return Ok({ stages });
    }

    /** Counts a sequence at each endpoint of a chain. */
    reserveChain({ stages }: Chain): void {
        for (const { endpoint } of stages) {
            const load = this.loads.get(endpoint);
            if (load !== undefined) {
                load.own++;
                load.chosen++;
            }
        }
    }

    /** Gives the places of a chain back. */
    releaseChain({ stages }: Chain): void {
        for (const { endpoint } of stages) {
            const load = this.loads.get(endpoint);
            if (load !== undefined) {
                load.own--;
            }
        }
    }

    /** Does nothing: a baseline does not learn from the times of passes. */
    observePass(): void {
        // Nothing to learn.
    }

    /** Takes an endpoint's report of its sequences. */
    observeLoad(report: LoadReport): void {
        const load = this.loads.get(report.endpoint);
        if (load !== undefined) {
            load.reported = report.sequences;
        }
    }

    /** Does nothing: a baseline does not learn from failures. */
    observeFailure(): void {
        // Nothing to learn.
    }

    private chooseStage(model: string, layer: number): ChainStage | undefined {
        let best: ChainStage | undefined;
        let bestRank = Infinity;
        for (const [endpoint, { layers }] of Object.entries(this.configuration.endpoints)) {
            const range = layers.find(held => held.model === model && held.start <= layer && layer < held.end);
            const load = this.loads.get(endpoint);
            const rank = range === undefined || load === undefined ? Infinity : this.rank(load);
            if (range !== undefined && rank < bestRank) {
                best = { endpoint, layerStart: layer, layerEnd: range.end };
                bestRank = rank;
            }
        }
        return best;
    }
}
