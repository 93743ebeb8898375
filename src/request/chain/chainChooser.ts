import type { Result } from "../../result.ts";
import type { Chain } from "./chain.ts";
import type { NoChainError } from "./noChainError.ts";

/** Options for choosing a chain. */
export interface ChooseChainOptions {
    model: string;
    /** Data centre of the node that chooses. */
    dataCentre: string;
    /** Positions of the first pass: the prompt, plus the accepted tokens if the context is rebuilt. */
    positions: number;
    /** Hash of the prompt's prefix, used to find endpoints that cache it. Undefined if unknown. */
    prefixHash?: string;
    /** Endpoints that must not be chosen. */
    excluded: ReadonlySet<string>;
    /** Endpoints to prefer if their estimated time is close to the best, such as those left of a broken chain. */
    preferred: ReadonlySet<string>;
}

/** Measurements of one pass at an endpoint. */
export interface PassObservation {
    endpoint: string;
    layers: number;
    positions: number;
    /** Time from sending the pass to its result. */
    elapsedMilliseconds: number;
    /** Number of passes that waited at the endpoint when it answered. */
    queue: number;
}

/** A load report of an endpoint. Its values are delayed. */
export interface LoadReport {
    endpoint: string;
    queue: number;
    sequences: number;
    freePositions: number;
    /** Time between sampling the values and their arrival at this node. */
    ageMilliseconds: number;
}

/** Chooses chains and learns from the observations of this node. All methods are synchronous and do no I/O. */
export interface ChainChooser {
    chooseChain(options: ChooseChainOptions): Result<Chain, NoChainError>;
    /** Counts a sequence as running on a chain until {@link ChainChooser.releaseChain} is called. */
    reserveChain(chain: Chain): void;
    releaseChain(chain: Chain): void;
    observePass(observation: PassObservation): void;
    observeLoad(report: LoadReport): void;
    /** Counts a failure against an endpoint. */
    observeFailure(endpoint: string): void;
}
