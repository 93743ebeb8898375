import { LRUCache } from "lru-cache";

/** A connection that broke while its endpoint ran a request, after which the endpoint could be reached or only the path seemed lost. */
interface UnprovenBreak {
    endpointId: string;
    /** Monotonic time in milliseconds at which the connection broke. */
    at: number;
    /** Called if the endpoint turns out to have restarted, and so to have crashed. */
    onProven(): void;
}

/** An endpoint that restarts so quickly that it can be reached right after a crash is known to have restarted within this time. */
const restartMilliseconds = 2_000;
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

    /** Adds a break, and forgets old ones. A break at an endpoint that is known to have restarted is proven at once. Returns whether it is. */
    add(added: UnprovenBreak): boolean {
        if (this.restarted.has(added.endpointId)) {
            added.onProven();
            return true;
        }
        const kept = this.breaks.filter(({ at }) => added.at - at < restartMilliseconds);
        this.breaks = [...kept.slice(-(maximumBreaks - 1)), added];
        return false;
    }

    /**
     * Proves the recent breaks at an endpoint, since it is known to have restarted.
     * @param endpointId - Id of the endpoint before the restart.
     * @param now - Monotonic time in milliseconds.
     */
    prove(endpointId: string, now: number): void {
        this.restarted.set(endpointId, true);
        const proven = this.breaks.filter(({ endpointId: id, at }) =>
            id === endpointId && now - at < restartMilliseconds
        );
        this.breaks = this.breaks.filter(each => each.endpointId !== endpointId);
        for (const { onProven } of proven) {
            onProven();
        }
    }
}
