import type { Chain, ChainStage } from "../../src/request/chain/chain.ts";
import type { ChainChooser, ChooseChainOptions, LoadReport } from "../../src/request/chain/chainChooser.ts";
import type { NoChainError } from "../../src/request/chain/noChainError.ts";
import { Err, Ok, type Result } from "../../src/result.ts";
import type { Configuration } from "../../src/version/configuration.ts";

/** Ranks an endpoint for the next stage; the lowest rank is chosen. */
export type RankEndpoint = (load: Readonly<GreedyLoad>) => number;

/** Load of an endpoint as seen by a {@link GreedyChooser}. */
export interface GreedyLoad {
    /** Number of sequences in the last load report. */
    reportedSequences: number;
    /** Number of sequences that this node runs. */
    ownSequences: number;
    /** Number of times that this node has chosen the endpoint. */
    timesChosen: number;
    maximumSequences: number;
}

/**
 * A baseline that builds a chain from layer 0 on. Each stage is the endpoint of lowest rank that holds the next layer,
 * and runs all layers that the endpoint holds from there on.
 */
export class GreedyChooser implements ChainChooser {
    private readonly configuration: Configuration;
    private readonly rank: RankEndpoint;
    private readonly loads = new Map<string, GreedyLoad>();

    private constructor(configuration: Configuration, rank: RankEndpoint) {
        this.configuration = configuration;
        this.rank = rank;
        for (const [name, { maximumSequences }] of Object.entries(configuration.endpoints)) {
            this.loads.set(name, { reportedSequences: 0, ownSequences: 0, timesChosen: 0, maximumSequences });
        }
    }

    /**
     * Creates a chooser without load data.
     * @param configuration - Endpoints and models to choose from.
     * @param rank - Ranks an endpoint by its load; the lowest is chosen.
     */
    static create(configuration: Configuration, rank: RankEndpoint): GreedyChooser {
        return new GreedyChooser(configuration, rank);
    }

    /** Chooses the stages one by one, each for the first layer that is still missing. */
    chooseChain({ model }: ChooseChainOptions): Result<Chain, NoChainError> {
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
                load.ownSequences++;
                load.timesChosen++;
            }
        }
    }

    /** Removes a sequence at each endpoint of a chain. */
    releaseChain({ stages }: Chain): void {
        for (const { endpoint } of stages) {
            const load = this.loads.get(endpoint);
            if (load !== undefined) {
                load.ownSequences--;
            }
        }
    }

    /** Does nothing. The baseline doesn't use the times of passes. */
    observePass(): void {
        // Not used.
    }

    /** Stores the number of sequences that an endpoint reports. */
    observeLoad(report: LoadReport): void {
        const load = this.loads.get(report.endpoint);
        if (load !== undefined) {
            load.reportedSequences = report.sequences;
        }
    }

    /** Does nothing. The baseline doesn't use failures. */
    observeFailure(): void {
        // Not used.
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
