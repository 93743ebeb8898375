import type { RandomSource } from "../../../process/randomSource.ts";
import { DrainRate } from "../drainRate.ts";
import { RetrySchedule } from "../retrySchedule.ts";
import { SmoothedRate } from "../smoothedRate.ts";
import type { StartDecision } from "./startDecision.ts";
import type { StartRefusal } from "./startRefusal.ts";
import type { StartRequest } from "./startRequest.ts";

/** A request in the queue. */
interface WaitingRequest<Reservation> {
    request: StartRequest<Reservation>;
    /** Number of requests behind it in the order that were started before it. */
    bypassCount: number;
}

/** The decision on a request that was waiting. */
interface ReviewedRequest<Reservation> {
    request: StartRequest<Reservation>;
    decision: StartDecision<Reservation>;
}

/**
 * Number of requests that may overtake a waiting one. A large request needs more capacity at once than a small one, so a
 * steady flow of small requests would starve it. At this number, nothing behind it is started before it.
 */
const maximumBypassCount = 4;
/**
 * A request is queued if its expected wait is at most this fraction of the time that it may wait, since later arrivals may
 * be started before it. With a fraction of 1, more requests are refused only after waiting and no more are served.
 */
const maximumExpectedWaitFraction = 0.6;
/** Maximum number of waiting requests until the first request has ended, since the throughput is unknown before. */
const maximumWaitingWithoutEstimate = 4;
/** Time constant of the moving averages of arrivals and of work granted to customers: about ten times a typical response time. */
const timeConstantMilliseconds = 5_000;
/** Minimum fraction of the throughput that is assumed to be available to retries, regardless of the rate of new requests. */
const minimumRetryFraction = 0.2;
/** Retry delay if the endpoints together do not hold the whole model: its layers are reassigned within seconds. */
const unservableRetryMilliseconds = 2_000;

/**
 * Decides which requests start, wait or are refused when there are more requests than capacity.
 *
 * It is designed for sustained overload. In order of arrival, every request would then wait for as long as it may, so the
 * capacity would be spent on requests that are answered late. Instead, requests that can still meet their latency objective
 * go first, and among these the customer that was granted the least work recently. Requests that are already late get the
 * remaining capacity. A request that can't be served in the time that it has is refused on arrival, with a retry delay that
 * follows from the throughput.
 *
 * It reads no clock and does no I/O. Times are monotonic, in milliseconds.
 */
export class StartQueue<Reservation> {
    private readonly drainRate = DrainRate.create();
    private readonly onTimeArrivals: SmoothedRate;
    private readonly retrySchedule: RetrySchedule;
    private readonly grantedRates = new Map<string, SmoothedRate>();
    private waiting: WaitingRequest<Reservation>[] = [];
    private running = 0;

    private constructor(random: RandomSource, now: number) {
        this.retrySchedule = RetrySchedule.create(random);
        this.onTimeArrivals = SmoothedRate.create(timeConstantMilliseconds, now);
    }

    /**
     * Creates an empty queue.
     * @param random - Source of the jitter of the retry delays.
     * @param now - Monotonic time in milliseconds.
     */
    static create<Reservation>(random: RandomSource, now: number): StartQueue<Reservation> {
        return new StartQueue(random, now);
    }

    /** Gets the number of waiting requests. */
    getLength(): number {
        return this.waiting.length;
    }

    /** Gets the recent rate of new requests at this node, in tokens a second, to report to the peers. */
    getDemand(now: number): number {
        return this.onTimeArrivals.getPerSecond(now);
    }

    /** Decides on a request that has just arrived. */
    decideArrival(request: StartRequest<Reservation>, now: number): StartDecision<Reservation> {
        if (isOnTime(request, now)) {
            this.onTimeArrivals.observe(now, request.cost);
        }
        const ahead = this.getRequestsAhead(request, now);
        if (ahead.every(({ bypassCount }) => bypassCount < maximumBypassCount)) {
            const reservation = this.tryStart(request, now, ahead);
            if (reservation !== undefined) {
                return { kind: "start", reservation };
            }
        }
        const refusal = refuseUnservable(request);
        if (refusal !== undefined) {
            return refusal;
        }
        const limitRetryMilliseconds = request.getLimitRetryMilliseconds();
        if (limitRetryMilliseconds !== undefined) {
            const retryAfterMilliseconds = Math.min(limitRetryMilliseconds, request.maximumRetryMilliseconds);
            return { kind: "refuse", cause: "its endpoints limit what they take.", retryAfterMilliseconds };
        }
        const expectedMilliseconds = this.getExpectedWait(request, ahead, now);
        if (expectedMilliseconds > getRemainingWait(request, now) * maximumExpectedWaitFraction) {
            return this.refuse(request, "it would wait too long for capacity.", now);
        }
        this.waiting.push({ request, bypassCount: 0 });
        return { kind: "wait", expectedMilliseconds };
    }

    /**
     * Decides again on the waiting requests, after capacity was released, endpoints were added or removed, or time has passed.
     * @returns The decisions on the requests that no longer wait.
     */
    review(now: number): ReviewedRequest<Reservation>[] {
        const reviewed: ReviewedRequest<Reservation>[] = [];
        const ordered = this.waiting.toSorted((left, right) => this.compare(left.request, right.request, now));
        const stillWaiting: WaitingRequest<Reservation>[] = [];
        let smallestUnreservedCost = Infinity;
        for (const waiting of ordered) {
            const { request } = waiting;
            const isBlocked = stillWaiting.some(({ bypassCount }) => bypassCount >= maximumBypassCount);
            const reservation = isBlocked || request.cost >= smallestUnreservedCost
                ? undefined
                : this.tryStart(request, now, stillWaiting);
            if (reservation !== undefined) {
                reviewed.push({ request, decision: { kind: "start", reservation } });
                continue;
            }
            smallestUnreservedCost = isBlocked
                ? smallestUnreservedCost
                : Math.min(smallestUnreservedCost, request.cost);
            if (
                now >= request.latestStart || !isOnTime(request, now) && !this.canServeLate(request, stillWaiting, now)
            ) {
                reviewed.push({
                    request,
                    decision: this.refuse(request, "no capacity became available in time.", now),
                });
                continue;
            }
            stillWaiting.push(waiting);
        }
        this.waiting = stillWaiting;
        return reviewed;
    }

    /**
     * Refuses the waiting requests that can't be served any more, after endpoints have asked for a pause or are leaving.
     * @returns The decisions on these requests.
     */
    reviewServability(): ReviewedRequest<Reservation>[] {
        const reviewed: ReviewedRequest<Reservation>[] = [];
        const stillWaiting: WaitingRequest<Reservation>[] = [];
        for (const waiting of this.waiting) {
            const decision = refuseUnservable(waiting.request);
            if (decision === undefined) {
                stillWaiting.push(waiting);
                continue;
            }
            reviewed.push({ request: waiting.request, decision });
        }
        this.waiting = stillWaiting;
        return reviewed;
    }

    /** Gets the latest time of the next review if no event triggers it earlier; undefined if no requests wait. */
    getNextReview(now: number): number | undefined {
        let next: number | undefined;
        for (const { request } of this.waiting) {
            const at = isOnTime(request, now) ? request.latestOnTimeStart : request.latestStart;
            next = Math.min(next ?? Infinity, at);
        }
        return next;
    }

    /** Removes a request whose caller has disconnected. */
    remove(request: StartRequest<Reservation>): void {
        this.waiting = this.waiting.filter(waiting => waiting.request !== request);
    }

    /**
     * Records that a started request has released its capacity.
     * @param cost - Cost of the request, in tokens.
     * @param heldMilliseconds - Time for which it held the capacity; undefined if it did not run.
     * @param now - Monotonic time in milliseconds.
     */
    recordEnd(cost: number, heldMilliseconds: number | undefined, now: number): void {
        this.running -= 1;
        if (heldMilliseconds !== undefined) {
            this.drainRate.observe(cost, heldMilliseconds, now);
        }
    }

    /** Records a request that was started without going through the queue, such as a stream that is resumed on other endpoints. */
    recordStart(): void {
        this.running += 1;
    }

    private tryStart(
        request: StartRequest<Reservation>,
        now: number,
        bypassed: WaitingRequest<Reservation>[],
    ): Reservation | undefined {
        const reservation = request.tryReserve();
        if (reservation === undefined) {
            return undefined;
        }
        for (const waiting of bypassed) {
            waiting.bypassCount += 1;
        }
        this.running += 1;
        this.getOrAddGrantedRate(request.customer, now).observe(now, request.cost);
        return reservation;
    }

    private refuse(request: StartRequest<Reservation>, cause: string, now: number): StartDecision<Reservation> {
        const throughput = this.drainRate.getRate(this.running);
        const rate = throughput
            && Math.max(throughput * minimumRetryFraction, throughput - this.getOnTimeArrivalRate(now));
        // A caller that retries before the running requests have ended would find the same load.
        const baseDelayMilliseconds = this.drainRate.getMeanRunMilliseconds() ?? 0;
        const scheduledMilliseconds = this.retrySchedule.schedule({
            cost: request.cost,
            rate,
            baseDelayMilliseconds,
            now,
        });
        const retryAfterMilliseconds = Math.min(scheduledMilliseconds, request.maximumRetryMilliseconds);
        return { kind: "refuse", cause, retryAfterMilliseconds };
    }

    private getRequestsAhead(request: StartRequest<Reservation>, now: number): WaitingRequest<Reservation>[] {
        return this.waiting.filter(other => this.compare(other.request, request, now) <= 0);
    }

    /** Estimates the wait of a request in milliseconds, from the cost of the requests ahead of it and the throughput. */
    private getExpectedWait(
        request: StartRequest<Reservation>,
        ahead: readonly WaitingRequest<Reservation>[],
        now: number,
    ): number {
        const throughput = this.drainRate.getRate(this.running);
        if (throughput === undefined || throughput === 0) {
            return ahead.length < maximumWaitingWithoutEstimate ? 0 : Infinity;
        }
        let cost = request.cost;
        for (const other of ahead) {
            cost += other.request.cost;
        }
        // New requests that arrive in the meantime go before a request that is late.
        const rate = isOnTime(request, now) ? throughput : throughput - this.getOnTimeArrivalRate(now);
        return rate > 0 ? cost / rate : Infinity;
    }

    private canServeLate(
        request: StartRequest<Reservation>,
        ahead: readonly WaitingRequest<Reservation>[],
        now: number,
    ): boolean {
        return this.getExpectedWait(request, ahead, now) <= getRemainingWait(request, now);
    }

    /** Gets the rate of new requests, in tokens a millisecond. */
    private getOnTimeArrivalRate(now: number): number {
        return this.onTimeArrivals.getPerSecond(now) / 1000;
    }

    /** Orders by rank, then requests that can meet their objective first, then by work granted to the customer, then by time. */
    private compare(left: StartRequest<Reservation>, right: StartRequest<Reservation>, now: number): number {
        const rank = left.rank - right.rank;
        if (rank !== 0) {
            return rank;
        }
        const isLeftOnTime = isOnTime(left, now);
        if (isLeftOnTime !== isOnTime(right, now)) {
            return isLeftOnTime ? -1 : 1;
        }
        const grantedDifference = left.customer === right.customer
            ? 0
            : this.getGrantedRate(left.customer, now) - this.getGrantedRate(right.customer, now);
        return grantedDifference || left.latestOnTimeStart - right.latestOnTimeStart;
    }

    private getGrantedRate(customer: string | undefined, now: number): number {
        return this.grantedRates.get(customer ?? "")?.getPerSecond(now) ?? 0;
    }

    private getOrAddGrantedRate(customer = "", now: number): SmoothedRate {
        const known = this.grantedRates.get(customer) ?? SmoothedRate.create(timeConstantMilliseconds, now);
        this.grantedRates.set(customer, known);
        return known;
    }
}

/** Refuses a request that no endpoints could serve even if nothing else were running. Undefined for any other request. */
function refuseUnservable(request: StartRequest<unknown>): StartRefusal | undefined {
    if (request.isServable()) {
        return undefined;
    }
    const pauseMilliseconds = request.getPauseRetryMilliseconds();
    const cause = pauseMilliseconds === undefined
        ? "the available endpoints together do not hold the whole model."
        : "its endpoints accept no requests for some time.";
    const retryMilliseconds = pauseMilliseconds ?? unservableRetryMilliseconds;
    return {
        kind: "refuse",
        cause,
        retryAfterMilliseconds: Math.min(retryMilliseconds, request.maximumRetryMilliseconds),
    };
}

function isOnTime({ latestOnTimeStart }: StartRequest<unknown>, now: number): boolean {
    return now <= latestOnTimeStart;
}

/** Gets how long a request may still wait, in milliseconds: until its latest start on time, or its latest start if it is late. */
function getRemainingWait(request: StartRequest<unknown>, now: number): number {
    return (isOnTime(request, now) ? Math.min(request.latestOnTimeStart, request.latestStart) : request.latestStart)
        - now;
}
