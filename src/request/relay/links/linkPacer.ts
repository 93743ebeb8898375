import type { EngineModel } from "../../../version/routing/engineModel.ts";
import { formatDataCentreLink } from "./formatDataCentreLink.ts";
import { getActivationBits } from "./getActivationBits.ts";

/** Bits per millisecond at a bandwidth of one megabit per second. */
const bitsPerMillisecond = 1_000;
/**
 * Fraction of a link's bandwidth that requests may use. With more, prompts queue behind each other for longer than a latency objective
 * allows, and the tokens of running streams queue behind them.
 */
const usableFraction = 0.7;

/** This node's use of one link. */
interface LinkUse {
    /** Monotonic time in milliseconds at which this node's share of the link is free again. */
    freeAt: number;
    /** Time that the last request occupies the share for. */
    lastMilliseconds: number;
}

/**
 * Paces this node's requests over the links between data centres, so that all nodes together stay within the links' bandwidth.
 *
 * This matters when endpoints are lost and most chains use links between data centres at once. All nodes share each link, and one prompt
 * occupies it for as long as hundreds of tokens do. Without pacing, prompts of requests that are already too late fill the
 * link, nothing else gets through, and all callers give up. Each direction counts as a separate link. Traffic that can't wait, such as
 * a stream that has to move, is counted too and delays the requests after it.
 *
 * Deterministic: depends only on its state and arguments. Times are monotonic, in milliseconds.
 */
export class LinkPacer {
    private readonly uses = new Map<string, LinkUse>();
    private readonly getShare: () => number;

    private constructor(getShare: () => number) {
        this.getShare = getShare;
    }

    /**
     * Creates the pacing of a node that has not used any link.
     * @param getShare - Gets this node's share of the demand of all nodes, above 0 and at most 1.
     */
    static create(getShare: () => number): LinkPacer {
        return new LinkPacer(getShare);
    }

    /**
     * Gets how long a request should wait before it uses the link from one data centre to another, in milliseconds. A node may be one
     * request ahead of its share, since requests arrive at a single node in bursts that even out over all nodes.
     */
    getWait(from: string, to: string, now: number): number {
        const use = this.uses.get(formatDataCentreLink(from, to));
        return use === undefined ? 0 : Math.max(0, use.freeAt - use.lastMilliseconds - now);
    }

    /**
     * Reserves time on a link for the transfer of tokens.
     * @param from - Source data centre.
     * @param to - Destination data centre.
     * @param model - Parameters of the model.
     * @param tokens - Tokens of the full request, or of the context that is moved.
     * @param now - Monotonic time in milliseconds.
     */
    reserve(from: string, to: string, model: EngineModel, tokens: number, now: number): void {
        const rate = model.linkMegabitsPerSecond * bitsPerMillisecond * usableFraction * this.getShare();
        const key = formatDataCentreLink(from, to);
        const start = Math.max(now, this.uses.get(key)?.freeAt ?? now);
        const lastMilliseconds = getActivationBits(model, tokens) / rate;
        this.uses.set(key, { freeAt: start + lastMilliseconds, lastMilliseconds });
    }
}
