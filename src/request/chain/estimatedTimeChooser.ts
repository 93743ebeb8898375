import type { EndpointState } from "../../connection/endpoint/endpointState.ts";
import type { Clock } from "../../process/clock.ts";
import type { RandomSource } from "../../process/randomSource.ts";
import { Err, Ok, type Result } from "../../result.ts";
import type { Configuration } from "../../version/configuration.ts";
import type { Chain, ChainStage } from "./chain.ts";
import type { ChainChooser, ChooseChainOptions, LoadReport, PassObservation } from "./chainChooser.ts";
import { ChainFleet } from "./chainFleet.ts";
import type { NoChainError } from "./noChainError.ts";
import { PrefixIndex } from "./prefixIndex.ts";
import type { SelectCandidates } from "./selectCandidates.ts";
import { selectRandomCandidates } from "./selectRandomCandidates.ts";

/** Number of random candidates per interval of layers. See docs/design/chains.md. */
const candidatesPerInterval = 6;

/** Options of an {@link EstimatedTimeChooser}. */
export interface EstimatedTimeChooserOptions {
    /** Gets the configuration in force. Each version is a new object. */
    getConfiguration: () => Configuration;
    /** Gets the state of an endpoint as this node knows it. An endpoint without a state is not chosen. */
    getEndpointState: (endpoint: string) => EndpointState | undefined;
    clock: Clock;
    random: RandomSource;
    /** Selects the candidates of each choice. Random candidates by default. */
    selectCandidates?: SelectCandidates;
}

/**
 * Chooses the chain with the lowest estimated time among the candidates. The time includes waiting, steps, link latency
 * and the transfer of activations, for the first pass and the expected number of tokens.
 */
export class EstimatedTimeChooser implements ChainChooser {
    private readonly options: EstimatedTimeChooserOptions;
    private readonly prefixes = PrefixIndex.create();
    private readonly fleet: ChainFleet;
    private readonly selectCandidates: SelectCandidates;
    /** Data centre of the node, from the options of the last choice. */
    private dataCentre = "";

    private constructor(options: EstimatedTimeChooserOptions) {
        this.options = options;
        this.fleet = ChainFleet.create({ ...options, prefixes: this.prefixes });
        this.selectCandidates = options.selectCandidates ?? selectRandomCandidates(candidatesPerInterval);
    }

    /** Creates a chooser. */
    static create(options: EstimatedTimeChooserOptions): EstimatedTimeChooser {
        return new EstimatedTimeChooser(options);
    }

    /**
     * Computes an upper bound on the fleet's current throughput in positions per second, from the learned step times.
     * @param nodeDataCentres - Data centre of each node, with one entry per node.
     */
    computeFlowBound(nodeDataCentres: readonly string[]): number {
        return this.fleet.computeFlowBound(nodeDataCentres);
    }

    /** Chooses a chain, or returns the first layer that no usable endpoint holds. */
    chooseChain(options: ChooseChainOptions): Result<Chain, NoChainError> {
        this.dataCentre = options.dataCentre;
        const stages = this.findStages(options);
        if (stages !== undefined) {
            return Ok({ stages });
        }
        // Endpoints may have loaded the missing layers since the last check.
        this.fleet.checkAllLayers();
        const found = this.findStages(options);
        return found === undefined
            ? Err(createNoChainError(options.model, this.findMissingLayer(options)))
            : Ok({ stages: found });
    }

    /** Counts a sequence as running on a chain. */
    reserveChain(chain: Chain): void {
        const now = this.options.clock.getMonotonicTime();
        for (const stage of chain.stages) {
            this.fleet.getRecord(stage.endpoint)?.load.addSequence(now);
        }
    }

    /** Stops counting a sequence that {@link EstimatedTimeChooser.reserveChain} counted. */
    releaseChain(chain: Chain): void {
        const now = this.options.clock.getMonotonicTime();
        for (const stage of chain.stages) {
            this.fleet.getRecord(stage.endpoint)?.load.removeSequence(now);
        }
    }

    observePass(observation: PassObservation): void {
        this.fleet.observePass(observation, this.options.clock.getMonotonicTime(), this.dataCentre);
    }

    observeLoad(report: LoadReport): void {
        const sampledAt = this.options.clock.getMonotonicTime() - report.ageMilliseconds;
        this.fleet.getRecord(report.endpoint)?.load.applyReport(report, sampledAt);
    }

    observeFailure(endpoint: string): void {
        this.fleet.getRecord(endpoint)?.load.addFailure(this.options.clock.getMonotonicTime());
    }

    /** Handles a cache event: an endpoint stored or evicted a prompt prefix. */
    observePrefix(endpoint: string, prefixHash: string, isStored: boolean): void {
        if (isStored) {
            this.prefixes.addPrefix(prefixHash, endpoint);
        }
        else {
            this.prefixes.removePrefix(prefixHash, endpoint);
        }
    }

    private findStages(options: ChooseChainOptions): ChainStage[] | undefined {
        const holders = this.fleet.getModelHolders(options.model);
        if (holders === undefined) {
            return undefined;
        }
        const isUsable = (holder: number) => holders.isUsable(holder, options.excluded);
        const now = this.options.clock.getMonotonicTime();
        const findChain = (candidates: readonly number[]) => {
            holders.estimateCosts(candidates, options, now);
            return holders.search.findChain(candidates, holders.costs);
        };
        return findChain(this.selectCandidates(holders, isUsable, this.options.random))
            ?? findChain([...holders.records.keys()].filter(isUsable));
    }

    private findMissingLayer(options: ChooseChainOptions): number {
        const holders = this.fleet.getModelHolders(options.model);
        return holders?.graph.findMissingLayer(holder => holders.isUsable(holder, options.excluded)) ?? 0;
    }
}

function createNoChainError(model: string, missingLayer: number): NoChainError {
    return {
        kind: "noChain",
        model,
        missingLayer,
        message: `No usable endpoint holds layer ${missingLayer} of model "${model}". `
            + "Load the layer on a serving endpoint, or add an endpoint to the configuration.",
    };
}
