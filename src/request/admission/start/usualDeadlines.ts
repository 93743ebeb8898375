import { LRUCache } from "lru-cache";

/** What was seen of one route. */
interface SeenDeadlines {
    /** The newest deadlines while nobody was turned away, in milliseconds, oldest first. */
    recent: number[];
    /** The low end of these; undefined before enough were seen. */
    lowest: number | undefined;
}

/** Routes whose callers' deadlines are kept. */
const keptRoutes = 500;
/** Deadlines of one route by which the usual ones are known; some ten seconds of calm traffic. */
const keptDeadlines = 100;
/** One in so many may lie below without being taken for a return. */
const lowestOf = 25;
/** Callers that were turned away have come back after this time: a third of the longest usual deadline. */
const returnMilliseconds = 7_000;

/**
 * Tells callers that come back from new ones: a caller says how much time it has left, and one that was turned away has less
 * than callers of its route usually have. What is usual is learnt while nobody is turned away.
 */
export class UsualDeadlines {
    private readonly routes = new LRUCache<string, SeenDeadlines>({ max: keptRoutes });
    private refusedAt = -Infinity;

    private constructor() {}

    /** Creates a record that knows of no deadlines. */
    static create(): UsualDeadlines {
        return new UsualDeadlines();
    }

    /** Notes that a caller was turned away, and may come back. */
    noteRefusal(now: number): void {
        this.refusedAt = now;
    }

    /**
     * Notes a request's deadline.
     * @param route - Name of its route.
     * @param deadlineMilliseconds - Time that its caller waits, as it says; undefined where it doesn't.
     * @param now - Monotonic time in milliseconds.
     * @returns Whether its caller has come back.
     */
    note(route: string, deadlineMilliseconds: number | undefined, now: number): boolean {
        if (deadlineMilliseconds === undefined) {
            return false;
        }
        const seen = this.routes.get(route) ?? { recent: [], lowest: undefined };
        this.routes.set(route, seen);
        if (now - this.refusedAt > returnMilliseconds) {
            learn(seen, deadlineMilliseconds);
            return false;
        }
        return seen.lowest !== undefined && deadlineMilliseconds < seen.lowest;
    }
}

function learn(seen: SeenDeadlines, deadlineMilliseconds: number): void {
    const { recent } = seen;
    recent.push(deadlineMilliseconds);
    if (recent.length > keptDeadlines) {
        recent.shift();
    }
    if (recent.length < lowestOf) {
        return;
    }
    const ordered = recent.toSorted((left, right) => left - right);
    seen.lowest = ordered[Math.floor(ordered.length / lowestOf)];
}
