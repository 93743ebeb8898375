import type { Result } from "../../result.ts";
import type { Chain } from "./chain.ts";
import type { NoChainError } from "./noChainError.ts";

/** What a chain is chosen for. */
export interface ChainOptions {
    model: string;
    /** Data centre of the choosing node. */
    dataCentre: string;
    /** Positions of the first pass: the prompt, and the accepted tokens of a rebuilt context. */
    positions: number;
    /** Hash of the prompt's prefix, for cached prefixes; undefined where unknown. */
    prefixHash?: string;
    /** Endpoints that must not be chosen. */
    excluded: ReadonlySet<string>;
    /** Endpoints to prefer where their time is close, such as the surviving stages of a broken chain. */
    preferred: ReadonlySet<string>;
}

/** What one pass showed of an endpoint. */
export interface PassObservation {
    endpoint: string;
    layers: number;
    positions: number;
    /** From sending to the result, in milliseconds. */
    elapsedMilliseconds: number;
    /** Passes that waited at the endpoint when it answered. */
    queue: number;
}

/** A load report of an endpoint, which lags. */
export interface LoadReport {
    endpoint: string;
    queue: number;
    sequences: number;
    freePositions: number;
    /** Milliseconds between the taking of the figures and their arrival. */
    ageMilliseconds: number;
}

/** Chooses chains and learns from what the node sees. All methods are synchronous and do no I/O. */
export interface ChainChooser {
    chooseChain(options: ChainOptions): Result<Chain, NoChainError>;
    /** Counts a sequence as running on a chain, until {@link ChainChooser.releaseChain}. */
    reserveChain(chain: Chain): void;
    releaseChain(chain: Chain): void;
    observePass(observation: PassObservation): void;
    observeLoad(report: LoadReport): void;
    /** Counts a failure against an endpoint. */
    observeFailure(endpoint: string): void;
}
