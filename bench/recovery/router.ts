import type { Chain } from "../../src/request/chain/chain.ts";

/** A request for an answer. */
export interface RouterRequest {
    id: string;
    prompt: string;
    maximumTokens: number;
    /** Aborts when the answer is no longer needed. */
    signal: AbortSignal;
    /** Called with each chain before its first pass. */
    onChain(chain: Chain): void;
    /** Called with the text of each token, in order. */
    onText(text: string): void;
}

/** Counts of a router's failures and reconnections. */
export interface RouterCounts {
    /** Number of attempts that ended without an answer, by kind and reason. */
    brokenAttempts: Map<string, number>;
    /** Number of connections that were replaced because they were silent. */
    replacedConnections: number;
}

/** Generates answers on the engines. */
export interface Router {
    readonly counts: RouterCounts;
    /** Generates an answer and returns whether it is complete. */
    generate(request: RouterRequest): Promise<boolean>;
    close(): Promise<void>;
}
