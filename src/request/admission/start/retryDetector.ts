import { LRUCache } from "lru-cache";

/** Observed deadlines of the callers of one route. */
interface RouteDeadlines {
    /** Deadlines of the latest requests outside retry windows, oldest first. */
    recentMilliseconds: number[];
    /** A shorter deadline indicates a retry; undefined until enough deadlines are known. */
    thresholdMilliseconds: number | undefined;
}

/** Maximum number of routes for which deadlines are stored. */
const maximumRoutes = 500;
/** Maximum number of deadlines that are stored for a route; about ten seconds of traffic at normal load. */
const maximumDeadlinesPerRoute = 100;
/** The threshold is chosen so that one in this many of the stored deadlines is below it. */
const thresholdDivisor = 25;
/** Time within which refused callers have retried: a third of the longest typical deadline. */
const retryWindowMilliseconds = 7_000;

/**
 * Distinguishes retries from new requests by their deadlines: a caller sends the time that it has left, and after a refusal it
 * has less left than callers of its route typically have. The typical deadlines are learned while no requests are refused.
 */
export class RetryDetector {
    private readonly routes = new LRUCache<string, RouteDeadlines>({ max: maximumRoutes });
    private refusedAt = -Infinity;

    private constructor() {}

    /** Creates an instance without observed deadlines. */
    static create(): RetryDetector {
        return new RetryDetector();
    }

    /** Records that a caller was refused and may retry. */
    observeRefusal(now: number): void {
        this.refusedAt = now;
    }

    /**
     * Records the deadline of a request and returns whether the request is probably a retry.
     * @param route - Name of the route.
     * @param deadlineMilliseconds - Time that the caller will wait for the answer; undefined if it sent none.
     * @param now - Monotonic time in milliseconds.
     */
    observeRequest(route: string, deadlineMilliseconds: number | undefined, now: number): boolean {
        if (deadlineMilliseconds === undefined) {
            return false;
        }
        const known = this.routes.get(route) ?? { recentMilliseconds: [], thresholdMilliseconds: undefined };
        this.routes.set(route, known);
        if (now - this.refusedAt > retryWindowMilliseconds) {
            addDeadline(known, deadlineMilliseconds);
            return false;
        }
        return known.thresholdMilliseconds !== undefined && deadlineMilliseconds < known.thresholdMilliseconds;
    }
}

function addDeadline(known: RouteDeadlines, deadlineMilliseconds: number): void {
    const { recentMilliseconds } = known;
    recentMilliseconds.push(deadlineMilliseconds);
    if (recentMilliseconds.length > maximumDeadlinesPerRoute) {
        recentMilliseconds.shift();
    }
    if (recentMilliseconds.length < thresholdDivisor) {
        return;
    }
    const ordered = recentMilliseconds.toSorted((left, right) => left - right);
    known.thresholdMilliseconds = ordered[Math.floor(ordered.length / thresholdDivisor)];
}
