import type { Chain } from "../../src/request/chain/chain.ts";

/** One answer that a router generates. */
export interface RouterRequest {
    id: string;
    prompt: string;
    maximumTokens: number;
    /** Aborts when the answer is no longer wanted. */
    signal: AbortSignal;
    /** Hears of each chain before its first pass. */
    onChain(chain: Chain): void;
    /** Takes each token's text, in order. */
    onText(text: string): void;
}

/** What a router did besides its answers. */
export interface RouterCounts {
    /** Attempts that ended without an answer, by kind and reason. */
    brokenAttempts: Map<string, number>;
    /** Connections that were replaced as silent. */
    replacedConnections: number;
}

/** A way of generating answers over the engines. */
export interface Router {
    readonly counts: RouterCounts;
    /** Generates one answer; returns whether it came whole. */
    generate(request: RouterRequest): Promise<boolean>;
    close(): Promise<void>;
}
