import type { RandomSource } from "../../../process/randomSource.ts";
import { DrainRate } from "../drainRate.ts";
import { ReturnSchedule } from "../returnSchedule.ts";
import { SmoothedRate } from "../smoothedRate.ts";
import type { StartDecision } from "./startDecision.ts";
import type { StartRequest } from "./startRequest.ts";

/** A request in the line. */
interface Waiting<Place> {
    request: StartRequest<Place>;
    /** Requests behind it that were started before it. */
    passes: number;
}

/** A decision on a request that waited. */
interface ReviewedRequest<Place> {
    request: StartRequest<Place>;
    decision: StartDecision<Place>;
}

/**
 * A large request needs more room at once than a small one, so small ones would pass it for as long as there are any. After so
 * many, nothing behind it is started until it is.
 */
const mostPasses = 4;
/**
 * A request may wait where its expected wait is at most this part of the time that it has. Others that come meanwhile may go
 * before it; with the whole of it more would be turned away only after their wait, and no more served.
 */
const expectedPart = 0.6;
/** Before the first request has ended nothing is known of the pace, and so many may wait. */
const mostUnknownWaiting = 4;
/** Arrivals and what customers were given count for 1/e after this time: some ten times a usual answer's time. */
const memoryMilliseconds = 5_000;
/** Of the pace, this part at least is taken to be left for callers that come back, however many new ones there are. */
const leastReturnPart = 0.2;
/** Where no endpoints together hold the model, their layers are placed anew within seconds. */
const unservableReturnMilliseconds = 2_000;

/**
 * Decides who starts, who waits and who is turned away, where requests are more than there is room for.
 *
 * The load that it answers is a lasting overload. Served by arrival, each request then waits as long as it may, so that those
 * that are served are late and the room is spent on them. Here whoever can still keep the objective goes first, and among
 * these the customer that was given least lately; those that are late already get what is left. Who can't be served in the
 * time that it has is told on arrival, with a time to come back that the pace of the work allows for.
 *
 * A function of its state and of what it is told: it reads no clock and sends nothing. Times are monotonic, in milliseconds.
 */
export class StartLine<Place> {
    private readonly drain = DrainRate.create();
    private readonly timelyArrivals: SmoothedRate;
    private readonly returns: ReturnSchedule;
    private readonly givenByCustomer = new Map<string, SmoothedRate>();
    private waiting: Waiting<Place>[] = [];
    private running = 0;

    private constructor(random: RandomSource, now: number) {
        this.returns = ReturnSchedule.create(random);
        this.timelyArrivals = SmoothedRate.create(memoryMilliseconds, now);
    }

    /**
     * Creates an empty line.
     * @param random - Spreads the returns of those that are turned away.
     * @param now - Monotonic time in milliseconds.
     */
    static create<Place>(random: RandomSource, now: number): StartLine<Place> {
        return new StartLine(random, now);
    }

    /** Gets the number of requests that wait. */
    getLength(): number {
        return this.waiting.length;
    }

    /** Gets the tokens a second of new requests that came here lately, for the peers. */
    getDemand(now: number): number {
        return this.timelyArrivals.getPerSecond(now);
    }

    /** Decides on a request that has just come. */
    decideArrival(request: StartRequest<Place>, now: number): StartDecision<Place> {
        if (isTimely(request, now)) {
            this.timelyArrivals.observe(now, request.cost);
        }
        const ahead = this.listAhead(request, now);
        if (ahead.every(({ passes }) => passes < mostPasses)) {
            const place = this.tryStart(request, now, ahead);
            if (place !== undefined) {
                return { kind: "start", place };
            }
        }
        if (!request.isServable()) {
            return {
                kind: "refuse",
                cause: "no endpoints together hold the whole model.",
                retryAfterMilliseconds: Math.min(unservableReturnMilliseconds, request.longestReturnMilliseconds),
            };
        }
        const limitReturn = request.getLimitReturn();
        if (limitReturn !== undefined) {
            const retryAfterMilliseconds = Math.min(limitReturn, request.longestReturnMilliseconds);
            return { kind: "refuse", cause: "its endpoints limit what they take.", retryAfterMilliseconds };
        }
        const expectedMilliseconds = this.getExpectedWait(request, ahead, now);
        if (expectedMilliseconds > getPatience(request, now) * expectedPart) {
            return this.turnAway(request, "it would wait too long for room.", now);
        }
        this.waiting.push({ request, passes: 0 });
        return { kind: "wait", expectedMilliseconds };
    }

    /**
     * Decides again on those that wait: room has come free, endpoints have come or gone, or time has passed.
     * @returns What became of those that wait no longer.
     */
    review(now: number): ReviewedRequest<Place>[] {
        const reviewed: ReviewedRequest<Place>[] = [];
        const ordered = this.waiting.toSorted((left, right) => this.compare(left.request, right.request, now));
        const passed: Waiting<Place>[] = [];
        let leastFailed = Infinity;
        for (const waiting of ordered) {
            const { request } = waiting;
            const isBlocked = passed.some(({ passes }) => passes >= mostPasses);
            const place = isBlocked || request.cost >= leastFailed ? undefined : this.tryStart(request, now, passed);
            if (place !== undefined) {
                reviewed.push({ request, decision: { kind: "start", place } });
                continue;
            }
            leastFailed = isBlocked ? leastFailed : Math.min(leastFailed, request.cost);
            if (now >= request.waitsUntil || !isTimely(request, now) && !this.canServeLate(request, passed, now)) {
                reviewed.push({ request, decision: this.turnAway(request, "no room came free in time.", now) });
                continue;
            }
            passed.push(waiting);
        }
        this.waiting = passed;
        return reviewed;
    }

    /** Gets when the line should be reviewed at the latest, if nothing happens; undefined where nobody waits. */
    getNextReview(now: number): number | undefined {
        let next: number | undefined;
        for (const { request } of this.waiting) {
            const at = isTimely(request, now) ? request.timelyUntil : request.waitsUntil;
            next = Math.min(next ?? Infinity, at);
        }
        return next;
    }

    /** Takes a request out, whose caller has gone. */
    remove(request: StartRequest<Place>): void {
        this.waiting = this.waiting.filter(waiting => waiting.request !== request);
    }

    /**
     * Counts that a started request has left its place.
     * @param cost - Its cost, in tokens.
     * @param heldMilliseconds - How long it held the place; undefined where it did not run.
     * @param now - Monotonic time in milliseconds.
     */
    noteEnd(cost: number, heldMilliseconds: number | undefined, now: number): void {
        this.running -= 1;
        if (heldMilliseconds !== undefined) {
            this.drain.observe(cost, heldMilliseconds, now);
        }
    }

    /** Counts a request that was started past the line, such as a stream that goes on elsewhere. */
    noteStart(): void {
        this.running += 1;
    }

    private tryStart(request: StartRequest<Place>, now: number, passed: Waiting<Place>[]): Place | undefined {
        const place = request.takePlace();
        if (place === undefined) {
            return undefined;
        }
        for (const waiting of passed) {
            waiting.passes += 1;
        }
        this.running += 1;
        this.getGiven(request.customer, now).observe(now, request.cost);
        return place;
    }

    private turnAway(request: StartRequest<Place>, cause: string, now: number): StartDecision<Place> {
        const pace = this.drain.getRate(this.running);
        const rate = pace && Math.max(pace * leastReturnPart, pace - this.getTimelyRate(now));
        // Before what runs now has ended, a caller that comes back meets the same load.
        const excessMilliseconds = this.drain.getMeanRunMilliseconds() ?? 0;
        const returnMilliseconds = this.returns.book({ cost: request.cost, rate, excessMilliseconds, now });
        const retryAfterMilliseconds = Math.min(returnMilliseconds, request.longestReturnMilliseconds);
        return { kind: "refuse", cause, retryAfterMilliseconds };
    }

    private listAhead(request: StartRequest<Place>, now: number): Waiting<Place>[] {
        return this.waiting.filter(other => this.compare(other.request, request, now) <= 0);
    }

    /** Estimates how long a request waits for its turn, from what is ahead of it and the pace at which places come free. */
    private getExpectedWait(request: StartRequest<Place>, ahead: readonly Waiting<Place>[], now: number): number {
        const pace = this.drain.getRate(this.running);
        if (pace === undefined || pace === 0) {
            return ahead.length < mostUnknownWaiting ? 0 : Infinity;
        }
        let cost = request.cost;
        for (const other of ahead) {
            cost += other.request.cost;
        }
        // New requests that come meanwhile go before one that is late.
        const rate = isTimely(request, now) ? pace : pace - this.getTimelyRate(now);
        return rate > 0 ? cost / rate : Infinity;
    }

    private canServeLate(request: StartRequest<Place>, ahead: readonly Waiting<Place>[], now: number): boolean {
        return this.getExpectedWait(request, ahead, now) <= getPatience(request, now);
    }

    /** Gets the tokens a millisecond of new requests. */
    private getTimelyRate(now: number): number {
        return this.timelyArrivals.getPerSecond(now) / 1000;
    }

    /** Orders by rank, then those that can keep their objective first, then by what their customers were given, then by time. */
    private compare(left: StartRequest<Place>, right: StartRequest<Place>, now: number): number {
        const rank = left.rank - right.rank;
        if (rank !== 0) {
            return rank;
        }
        const isLeftTimely = isTimely(left, now);
        if (isLeftTimely !== isTimely(right, now)) {
            return isLeftTimely ? -1 : 1;
        }
        const given = left.customer === right.customer
            ? 0
            : this.getGivenRate(left.customer, now) - this.getGivenRate(right.customer, now);
        return given || left.timelyUntil - right.timelyUntil;
    }

    private getGivenRate(customer: string | undefined, now: number): number {
        return this.givenByCustomer.get(customer ?? "")?.getPerSecond(now) ?? 0;
    }

    private getGiven(customer = "", now: number): SmoothedRate {
        const known = this.givenByCustomer.get(customer) ?? SmoothedRate.create(memoryMilliseconds, now);
        this.givenByCustomer.set(customer, known);
        return known;
    }
}

function isTimely({ timelyUntil }: StartRequest<unknown>, now: number): boolean {
    return now <= timelyUntil;
}

/** Gets how long a request may wait from now on: for as long as it can keep its objective, or, where it is late, at all. */
function getPatience(request: StartRequest<unknown>, now: number): number {
    return (isTimely(request, now) ? Math.min(request.timelyUntil, request.waitsUntil) : request.waitsUntil) - now;
}
