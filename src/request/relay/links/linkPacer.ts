import type { EngineModel } from "../../../version/routing/engineModel.ts";
import { formatDataCentreLink } from "./formatDataCentreLink.ts";
import { getActivationBits } from "./getActivationBits.ts";
import { getUsableRate } from "./getUsableRate.ts";

type ShareSource = (from: string, to: string, now: number) => number;

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
    private readonly getShare: ShareSource;

    private constructor(getShare: ShareSource) {
        this.getShare = getShare;
    }

    /**
     * Creates the pacing of a node that has not used any link.
     * @param getShare - Gets this node's share of the demand of all nodes for a link, above 0 and at most 1.
     */
    static create(getShare: ShareSource): LinkPacer {
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
     * @param creditMilliseconds - Time that the share was free before, which counts for this request. Default: 0.
     */
    reserve(from: string, to: string, model: EngineModel, tokens: number, now: number, creditMilliseconds = 0): void {
        const key = formatDataCentreLink(from, to);
        const start = Math.max(now - creditMilliseconds, this.uses.get(key)?.freeAt ?? now);
        const lastMilliseconds = this.getOccupancy(from, to, model, tokens, now);
        this.uses.set(key, { freeAt: start + lastMilliseconds, lastMilliseconds });
    }

    /** Gets how long a request occupies this node's share of a link, in milliseconds. */
    getOccupancy(from: string, to: string, model: EngineModel, tokens: number, now: number): number {
        return getActivationBits(model, tokens) / (getUsableRate(model) * this.getShare(from, to, now));
    }

    /** Gets how long this node's share of a link stays occupied, without the request that it may be ahead. */
    getIdleWait(from: string, to: string, now: number): number {
        return Math.max(0, (this.uses.get(formatDataCentreLink(from, to))?.freeAt ?? -Infinity) - now);
    }

    /**
     * Delays the next request over a link that this node has not used recently. When all nodes start to use a link in the same moment,
     * their first requests would otherwise arrive at the link together.
     * @param milliseconds - Delay; different at each node.
     * @param now - Monotonic time in milliseconds.
     */
    delayStart(from: string, to: string, milliseconds: number, now: number): void {
        const key = formatDataCentreLink(from, to);
        const freeAt = Math.max(now + milliseconds, this.uses.get(key)?.freeAt ?? now);
        this.uses.set(key, { freeAt, lastMilliseconds: 0 });
    }
}
