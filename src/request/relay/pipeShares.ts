import type { EngineModel } from "../../version/routing/engineModel.ts";
import { formatCrossing } from "./formatCrossing.ts";
import { getCrossingBits } from "./getCrossingBits.ts";

/** Bits of a megabit a second that pass in a millisecond. */
const bitsOfMillisecond = 1_000;
/**
 * Part of a pipe that is given to requests. With more of it, prompts wait for each other for longer than an objective allows, and
 * the tokens of streams that run wait behind them.
 */
const usablePart = 0.7;

/** What this node has sent over one pipe. */
interface PipeUse {
    /** When this node's part of the pipe is free again. */
    freeAt: number;
    /** How much of that the last request takes. */
    lastMilliseconds: number;
}

/**
 * This node's part of what the pipes between data centres carry.
 *
 * The load that it answers: endpoints are lost, so that most chains cross between data centres at once. All nodes share each pipe,
 * and one prompt occupies it for as long as hundreds of tokens do. Without a bound, prompts of requests that are lost already fill
 * it, nothing else gets through, and all callers leave. Each direction has its own pipe; what a node starts over it is spaced so
 * that all nodes together stay within it. What goes over it all the same, such as a stream that must move, delays what comes next.
 *
 * A function of its state and of what it is told. Times are monotonic, in milliseconds.
 */
export class PipeShares {
    private readonly uses = new Map<string, PipeUse>();
    private readonly getShare: () => number;

    private constructor(getShare: () => number) {
        this.getShare = getShare;
    }

    /**
     * Creates the shares of a node that has used no pipe.
     * @param getShare - Gets this node's part of the demand of all nodes, above 0 and at most 1.
     */
    static create(getShare: () => number): PipeShares {
        return new PipeShares(getShare);
    }

    /**
     * Gets how long a request that may wait should, until it uses the pipe from one data centre to another. A node may be one request
     * ahead of its part: requests come to a single node in bursts, which level out over all.
     */
    getWait(from: string, to: string, now: number): number {
        const use = this.uses.get(formatCrossing(from, to));
        return use === undefined ? 0 : Math.max(0, use.freeAt - use.lastMilliseconds - now);
    }

    /**
     * Counts tokens that move over a pipe.
     * @param from - Data centre that they leave.
     * @param to - Data centre that they come to.
     * @param model - Figures of the model.
     * @param tokens - Tokens of the whole request, or of the context that is moved.
     * @param now - Monotonic time in milliseconds.
     */
    take(from: string, to: string, model: EngineModel, tokens: number, now: number): void {
        const rate = model.pipeMegabits * bitsOfMillisecond * usablePart * this.getShare();
        const way = formatCrossing(from, to);
        const start = Math.max(now, this.uses.get(way)?.freeAt ?? now);
        const lastMilliseconds = getCrossingBits(model, tokens) / rate;
        this.uses.set(way, { freeAt: start + lastMilliseconds, lastMilliseconds });
    }
}
