import type { EndpointState } from "../../connection/endpoint/endpointState.ts";
import type { Clock } from "../../process/clock.ts";
import type { RandomSource } from "../../process/randomSource.ts";
import { Err, Ok, type Result } from "../../result.ts";
import type { Configuration } from "../../version/configuration.ts";
import type { Chain } from "./chain.ts";
import type { ChainChooser, ChainOptions, LoadReport, PassObservation } from "./chainChooser.ts";
import { ChainFleet } from "./chainFleet.ts";
import type { ModelHolders } from "./modelHolders.ts";
import type { NoChainError } from "./noChainError.ts";
import { selectAll } from "./selectAll.ts";
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
    private readonly fleet: ChainFleet;
    private readonly selectCandidates: SelectCandidates;
    /** Data centre of the node, as the last choice named it. */
    private dataCentre = "";

    private constructor(options: EstimatedTimeChooserOptions) {
        this.options = options;
        this.fleet = ChainFleet.create(options);
        this.selectCandidates = options.selectCandidates ?? selectAll;
    }

    /** Creates a chooser. */
    static create(options: EstimatedTimeChooserOptions): EstimatedTimeChooser {
        return new EstimatedTimeChooser(options);
    }

    /** Chooses a chain, or tells the first layer that no usable endpoint holds. */
    chooseChain(options: ChainOptions): Result<Chain, NoChainError> {
        this.dataCentre = options.dataCentre;
        const holders = this.fleet.getModelHolders(options.model);
        if (holders === undefined) {
            return Err(createNoChainError(options.model, 0));
        }
        const usable = holders.findUsable(options.excluded);
        const candidates = this.selectCandidates(holders, usable, this.options.random);
        const stages = this.findChain(holders, candidates, options) ?? this.findChain(holders, usable, options);
        if (stages === undefined) {
            return Err(createNoChainError(options.model, holders.findMissingLayer(usable)));
        }
        return Ok({ stages });
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

    private findChain(holders: ModelHolders, candidates: readonly number[], options: ChainOptions) {
        holders.estimateCosts(candidates, options, this.options.clock.getMonotonicTime());
        return holders.search.findChain(candidates, holders.costs);
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
