import type { EndpointState } from "../../connection/endpoint/endpointState.ts";
import type { Clock } from "../../process/clock.ts";
import type { RandomSource } from "../../process/randomSource.ts";
import { Err, Ok, type Result } from "../../result.ts";
import type { Configuration } from "../../version/configuration.ts";
import type { Chain, ChainStage } from "./chain.ts";
import type { ChainChooser, ChainOptions, LoadReport, PassObservation } from "./chainChooser.ts";
import { ChainFleet } from "./chainFleet.ts";
import type { NoChainError } from "./noChainError.ts";
import { selectRandomCandidates } from "./selectRandomCandidates.ts";

/** Random endpoints that a decision weighs for each interval of layers. Measured in docs/design/chains.md. */
const choicesPerInterval = 6;
import { PrefixIndex } from "./prefixIndex.ts";
import type { SelectCandidates } from "./selectCandidates.ts";

/** What an {@link EstimatedTimeChooser} works with. */
export interface EstimatedTimeChooserOptions {
    /** Gets the configuration in force; a new object for each version. */
    getConfiguration: () => Configuration;
    /** Gets what this node believes of an endpoint; an endpoint without a state is not chosen. */
    getEndpointState: (endpoint: string) => EndpointState | undefined;
    clock: Clock;
    random: RandomSource;
    /** Selects the holders that a decision weighs. */
    selectCandidates?: SelectCandidates;
}

/**
 * Chooses the chain of least estimated time among candidates: waiting, steps, link latency, and activation bytes over
 * bandwidth, for the first pass and an expected number of tokens.
 */
export class EstimatedTimeChooser implements ChainChooser {
    private readonly options: EstimatedTimeChooserOptions;
    private readonly prefixes = PrefixIndex.create();
    private readonly fleet: ChainFleet;
    private readonly selectCandidates: SelectCandidates;
    /** Data centre of the node, as the last choice named it. */
    private dataCentre = "";

    private constructor(options: EstimatedTimeChooserOptions) {
        this.options = options;
        this.fleet = ChainFleet.create({ ...options, prefixes: this.prefixes });
        this.selectCandidates = options.selectCandidates ?? selectRandomCandidates(choicesPerInterval);
    }

    /** Creates a chooser. */
    static create(options: EstimatedTimeChooserOptions): EstimatedTimeChooser {
        return new EstimatedTimeChooser(options);
    }

    /**
     * Computes the most positions a second that the fleet can carry now, by the learnt step times.
     * @param nodeDataCentres - Data centres of the nodes, one entry a node.
     */
    computeBound(nodeDataCentres: readonly string[]): number {
        return this.fleet.computeBound(nodeDataCentres);
    }

    /** Chooses a chain, or tells the first layer that no usable endpoint holds. */
    chooseChain(options: ChainOptions): Result<Chain, NoChainError> {
        this.dataCentre = options.dataCentre;
        const stages = this.findStages(options);
        if (stages !== undefined) {
            return Ok({ stages });
        }
        // Layers that were not noticed yet may fill the gap.
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

    /** Ends what {@link EstimatedTimeChooser.reserveChain} began. */
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
        const takenAt = this.options.clock.getMonotonicTime() - report.ageMilliseconds;
        this.fleet.getRecord(report.endpoint)?.load.applyReport(report, takenAt);
    }

    observeFailure(endpoint: string): void {
        this.fleet.getRecord(endpoint)?.load.addFailure(this.options.clock.getMonotonicTime());
    }

    /** Takes in a cache event: an endpoint has stored or evicted a prompt prefix. */
    observePrefix(endpoint: string, prefixHash: string, isStored: boolean): void {
        if (isStored) {
            this.prefixes.addPrefix(prefixHash, endpoint);
        }
        else {
            this.prefixes.removePrefix(prefixHash, endpoint);
        }
    }

    private findStages(options: ChainOptions): ChainStage[] | undefined {
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

    private findMissingLayer(options: ChainOptions): number {
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
            + "Load the layer on an endpoint that serves, or add one to the configuration.",
    };
}
