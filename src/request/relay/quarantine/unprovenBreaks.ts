import { LRUCache } from "lru-cache";
import { proofMilliseconds } from "./proofMilliseconds.ts";
import type { UnprovenBreak } from "./unprovenBreak.ts";

const maximumBreaks = 1_000;
const maximumRestarted = 1_000;

/**
 * The broken connections of which it isn't known whether their endpoints crashed. Endpoints also break off single streams and go on with
 * the others.
 */
export class UnprovenBreaks {
    /** The oldest first. */
    private breaks: UnprovenBreak[] = [];
    /** Ids of endpoints that have restarted. A break may be added after that, since the test of the path takes some time. */
    private readonly restarted = new LRUCache<string, true>({ max: maximumRestarted });

    private constructor() {}

    /** Creates an instance without breaks. */
    static create(): UnprovenBreaks {
        return new UnprovenBreaks();
    }

    /** Adds a break. One at an endpoint that is known to have restarted is proven at once. Returns whether it is. */
    add(added: UnprovenBreak): boolean {
        if (this.restarted.has(added.endpointId)) {
            added.onProven(false);
            return true;
        }
        this.breaks = [...this.breaks.slice(-(maximumBreaks - 1)), added];
        return false;
    }

    /**
     * Forgets the breaks that can't be proven any more, with the requests that they hold.
     * @param now - Monotonic time in milliseconds.
     */
    forgetOld(now: number): void {
        this.breaks = this.breaks.filter(({ at }) => now - at < proofMilliseconds);
    }

    /**
     * Proves the recent breaks at an endpoint, since it is known to have restarted.
     * @param endpointId - Id of the endpoint before the restart.
     * @param now - Monotonic time in milliseconds.
     */
    proveByRestart(endpointId: string, now: number): void {
        this.restarted.set(endpointId, true);
        this.prove(endpointId, now, false);
    }

    /** Proves the recent breaks at an endpoint, since it is down by now. */
    proveByLoss(endpointId: string, now: number): void {
        this.prove(endpointId, now, true);
    }

    private prove(endpointId: string, now: number, isDown: boolean): void {
        this.forgetOld(now);
        const proven = this.breaks.filter(each => each.endpointId === endpointId);
        this.breaks = this.breaks.filter(each => each.endpointId !== endpointId);
        for (const { onProven } of proven) {
            onProven(isDown);
        }
    }
}
