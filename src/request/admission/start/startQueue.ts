import type { RandomSource } from "../../../process/randomSource.ts";
import { DrainRate } from "../drainRate.ts";
import { RetrySchedule } from "../retrySchedule.ts";
import { SmoothedRate } from "../smoothedRate.ts";
import { ExhaustedCapacity, type KnownExhaustion } from "./exhaustedCapacity.ts";
import { OnTimeArrivals } from "./onTimeArrivals.ts";
import { refuseAtShutdown } from "./refuseAtShutdown.ts";
import { refuseUnservable } from "./refuseUnservable.ts";
import type { StartBlock } from "./startBlock.ts";
import { StartBound } from "./startBound.ts";
import type { StartDecision } from "./startDecision.ts";
import type { StartRefusal } from "./startRefusal.ts";
import type { StartRequest } from "./startRequest.ts";
import { WaitingList } from "./waitingList.ts";
import { type ListPart, WaitingOrder } from "./waitingOrder.ts";
import type { WaitingRequest } from "./waitingRequest.ts";

/** Requests that start before another one. */
interface RequestsAhead {
    count: number;
    /** Their total cost, in tokens. */
    cost: number;
}

/** Result of an attempt to start a request. */
interface StartAttempt<Reservation> {
    reservation: Reservation | undefined;
    /** What is remembered of the lack of capacity, if it holds for other requests too. */
    exhaustion: KnownExhaustion | undefined;
}

/** The decision on a request that was waiting. */
interface ReviewedRequest<Reservation> {
    request: StartRequest<Reservation>;
    decision: StartDecision<Reservation>;
}

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
    private readonly random: RandomSource;
    private readonly onTimeArrivals = OnTimeArrivals.create(timeConstantMilliseconds);
    /** Scheduled retries by rank, so that a higher rank doesn't wait for the retries of a lower one. */
    private readonly retrySchedules = new Map<number, RetrySchedule>();
    private readonly grantedRates = new Map<string, SmoothedRate>();
    private readonly waiting: WaitingOrder<Reservation>;
    private readonly exhausted = ExhaustedCapacity.create();
    private running = 0;

    private constructor(random: RandomSource) {
        this.random = random;
        this.waiting = WaitingOrder.create(
            customer => this.grantedRates.get(customer ?? "")?.getOrder() ?? -Infinity,
        );
    }

    /**
     * Creates an empty queue.
     * @param random - Source of the jitter of the retry delays.
     */
    static create<Reservation>(random: RandomSource): StartQueue<Reservation> {
        return new StartQueue(random);
    }

    /** Gets the number of waiting requests. */
    getLength(): number {
        return this.waiting.getLength();
    }

    /** Gets the recent rate of new requests at this node, in tokens a second, to report to the peers. */
    getDemand(now: number): number {
        return this.onTimeArrivals.getPerSecond(now);
    }

    /** Gets the mean time for which a request holds its capacity, in milliseconds; undefined before the first request has ended. */
    getMeanRunMilliseconds(): number | undefined {
        return this.drainRate.getMeanRunMilliseconds();
    }

    /** Decides on a request that has just arrived. */
    decideArrival(request: StartRequest<Reservation>, now: number): StartDecision<Reservation> {
        if (isOnTime(request, now)) {
            this.onTimeArrivals.observe(request.rank, request.cost, now);
        }
        const ahead = this.waiting.getAhead(request, now);
        const attempt = this.tryStartArrival(request, now, ahead);
        if (attempt.reservation !== undefined) {
            return { kind: "start", reservation: attempt.reservation };
        }
        if (attempt.exhaustion?.isServable !== true) {
            const refusal = refuseUnservable(request);
            if (refusal !== undefined) {
                return refusal;
            }
        }
        if (attempt.exhaustion !== undefined) {
            attempt.exhaustion.isServable = true;
        }
        const limitRetryMilliseconds = request.getLimitRetryMilliseconds();
        if (limitRetryMilliseconds !== undefined) {
            const retryAfterMilliseconds = Math.min(limitRetryMilliseconds, request.maximumRetryMilliseconds);
            const cause = "its endpoints limit what they take.";
            return { kind: "refuse", cause, bound: StartBound.Limit, retryAfterMilliseconds };
        }
        const block = request.getLinkBlock?.();
        if (block !== undefined) {
            return this.decideBlocked(request, block, now);
        }
        const expectedMilliseconds = this.getExpectedWait(request, sumAhead(ahead), now);
        if (expectedMilliseconds > getRemainingWait(request, now) * maximumExpectedWaitFraction) {
            return this.refuse(request, "it would wait too long for capacity.", now);
        }
        this.waiting.add(request, now);
        return { kind: "wait", expectedMilliseconds };
    }

    /**
     * Forgets for which requests no capacity was found. It must be called when capacity may have become free or endpoints have
     * changed, before the next arrival.
     */
    noteCapacityChange(): void {
        this.exhausted.clear();
    }

    /**
     * Decides again on the waiting requests, after capacity was released, endpoints were added or removed, or time has passed.
     * @returns The decisions on the requests that no longer wait.
     */
    review(now: number): ReviewedRequest<Reservation>[] {
        this.exhausted.clear();
        const reviewed: ReviewedRequest<Reservation>[] = [];
        const stillWaiting: WaitingRequest<Reservation>[] = [];
        const ahead: RequestsAhead = { count: 0, cost: 0 };
        let isBlocked = false;
        let smallestUnreservedCost = Infinity;
        let smallestUnreservedLateCost = Infinity;
        let rank: number | undefined;
        let smallestOfHigherRanks = Infinity;
        for (const waiting of this.waiting.listInOrder(now)) {
            const { request } = waiting;
            if (request.rank !== rank) {
                rank = request.rank;
                smallestOfHigherRanks = smallestUnreservedCost;
            }
            const isHeld = request.isHeld?.() === true;
            const isLate = !isOnTime(request, now);
            // A link that requests on time prefer to wait for may be good enough for late ones of the same rank.
            const knownCost = isLate && request.getLinkBlock?.() !== undefined
                ? Math.min(smallestUnreservedLateCost, smallestOfHigherRanks)
                : smallestUnreservedCost;
            const isTried = !isBlocked && !isHeld && request.cost < knownCost;
            const reservation = isTried ? this.tryReserve(request, now).reservation : undefined;
            if (reservation !== undefined) {
                this.waiting.remove(request);
                for (const bypassed of stillWaiting) {
                    this.waiting.addBypass(bypassed);
                    isBlocked ||= WaitingList.isBlocking(bypassed);
                }
                reviewed.push({ request, decision: { kind: "start", reservation } });
                continue;
            }
            if (isTried) {
                smallestUnreservedCost = Math.min(smallestUnreservedCost, request.cost);
                smallestUnreservedLateCost = isLate
                    ? Math.min(smallestUnreservedLateCost, request.cost)
                    : smallestUnreservedLateCost;
            }
            const isKnownToFail = isTried || !isBlocked && request.cost >= smallestUnreservedLateCost;
            const block = isLate && isKnownToFail ? request.getLinkBlock?.() : undefined;
            if (block !== undefined) {
                this.waiting.remove(request);
                reviewed.push({ request, decision: refuseBlocked(request, block) });
                continue;
            }
            if (now >= request.latestStart || waiting.isLate && !this.canServeLate(request, ahead, now)) {
                this.waiting.remove(request);
                reviewed.push({
                    request,
                    decision: this.refuse(request, "no capacity became available in time.", now),
                });
                continue;
            }
            if (!isHeld) {
                stillWaiting.push(waiting);
                isBlocked ||= WaitingList.isBlocking(waiting);
            }
            ahead.count += 1;
            ahead.cost += request.cost;
        }
        return reviewed;
    }

    /**
     * Refuses the waiting requests that can't be served any more, after endpoints have asked for a pause or are leaving.
     * @returns The decisions on these requests.
     */
    reviewServability(): ReviewedRequest<Reservation>[] {
        this.exhausted.clear();
        const reviewed: ReviewedRequest<Reservation>[] = [];
        for (const { request } of this.waiting.getAll()) {
            const decision = refuseUnservable(request);
            if (decision !== undefined) {
                this.waiting.remove(request);
                reviewed.push({ request, decision });
            }
        }
        return reviewed;
    }

    /**
     * Refuses all waiting requests, before this node ends.
     * @returns The decisions on these requests.
     */
    refuseAll(): ReviewedRequest<Reservation>[] {
        const requests = [...this.waiting.getAll()].map(({ request }) => request);
        for (const request of requests) {
            this.waiting.remove(request);
        }
        return requests.map(request => ({ request, decision: refuseAtShutdown(request) }));
    }

    /** Gets the latest time of the next review if no event triggers it earlier; undefined if no requests wait. */
    getNextReview(now: number): number | undefined {
        let next: number | undefined;
        for (const { request } of this.waiting.getAll()) {
            const at = isOnTime(request, now) ? request.latestOnTimeStart : request.latestStart;
            next = Math.min(next ?? Infinity, at);
        }
        return next;
    }

    /** Removes a request whose caller has disconnected. */
    remove(request: StartRequest<Reservation>): void {
        this.waiting.remove(request);
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

    /** Decides on a request that a link keeps from starting. It waits if it can still be on time when the link has capacity. */
    private decideBlocked(
        request: StartRequest<Reservation>,
        block: StartBlock,
        now: number,
    ): StartDecision<Reservation> {
        const expectedMilliseconds = block.waitMilliseconds;
        if (now + expectedMilliseconds > Math.min(request.latestOnTimeStart, request.latestStart)) {
            return refuseBlocked(request, block);
        }
        this.waiting.add(request, now);
        return { kind: "wait", expectedMilliseconds };
    }

    /** Starts a request that has arrived if nothing ahead of it prevents that and there is capacity. */
    private tryStartArrival(
        request: StartRequest<Reservation>,
        now: number,
        ahead: readonly ListPart<Reservation>[],
    ): StartAttempt<Reservation> {
        if (request.isHeld?.() === true || ahead.some(({ list, count }) => list.isBlocked(count))) {
            return { reservation: undefined, exhaustion: undefined };
        }
        const attempt = this.tryReserve(request, now);
        if (attempt.reservation !== undefined) {
            for (const { list, count } of ahead) {
                for (const bypassed of list.getEntries().slice(0, count)) {
                    if (bypassed.request.isHeld?.() !== true) {
                        list.addBypass(bypassed);
                    }
                }
            }
        }
        return attempt;
    }

    /** Reserves the capacity of a request and counts it as running. Doesn't search if it is known that there is none. */
    private tryReserve(request: StartRequest<Reservation>, now: number): StartAttempt<Reservation> {
        const query = { isOnTime: isOnTime(request, now), cost: request.cost, now };
        const capacityClass = request.getCapacityClass?.();
        const known = capacityClass === undefined ? undefined : this.exhausted.find({ ...query, capacityClass });
        if (known !== undefined) {
            return { reservation: undefined, exhaustion: known };
        }
        const reservation = request.tryReserve();
        if (reservation !== undefined) {
            this.running += 1;
            this.getOrAddGrantedRate(request.customer, now).observe(now, request.cost);
            return { reservation, exhaustion: undefined };
        }
        // The search may have met rate limits, which are not the same for the next request.
        const failedClass = request.getCapacityClass?.();
        return {
            reservation,
            exhaustion: failedClass === undefined
                ? undefined
                : this.exhausted.add({ ...query, capacityClass: failedClass }),
        };
    }

    private refuse(request: StartRequest<Reservation>, cause: string, now: number): StartDecision<Reservation> {
        const throughput = this.drainRate.getRate(this.running);
        const rate = throughput
            && Math.max(throughput * minimumRetryFraction, throughput - this.onTimeArrivals.getRate(now, request.rank));
        // A caller that retries before the running requests have ended would find the same load.
        const baseDelayMilliseconds = this.drainRate.getMeanRunMilliseconds() ?? 0;
        const scheduledMilliseconds = this.getOrAddRetrySchedule(request.rank).schedule({
            cost: request.cost,
            rate,
            baseDelayMilliseconds,
            now,
        });
        const retryAfterMilliseconds = Math.min(scheduledMilliseconds, request.maximumRetryMilliseconds);
        return { kind: "refuse", cause, bound: StartBound.Capacity, retryAfterMilliseconds };
    }

    /** Estimates the wait of a request in milliseconds, from the cost of the requests ahead of it and the throughput. */
    private getExpectedWait(
        request: StartRequest<Reservation>,
        ahead: RequestsAhead,
        now: number,
    ): number {
        const throughput = this.drainRate.getRate(this.running);
        if (throughput === undefined || throughput === 0) {
            return ahead.count < maximumWaitingWithoutEstimate ? 0 : Infinity;
        }
        const cost = request.cost + ahead.cost;
        // New requests of its rank or a higher one that arrive in the meantime go before a request that is late.
        const rate = isOnTime(request, now) ? throughput : throughput - this.onTimeArrivals.getRate(now, request.rank);
        return rate > 0 ? cost / rate : Infinity;
    }

    private canServeLate(request: StartRequest<Reservation>, ahead: RequestsAhead, now: number): boolean {
        return this.getExpectedWait(request, ahead, now) <= getRemainingWait(request, now);
    }

    private getOrAddRetrySchedule(rank: number): RetrySchedule {
        const known = this.retrySchedules.get(rank) ?? RetrySchedule.create(this.random);
        this.retrySchedules.set(rank, known);
        return known;
    }

    private getOrAddGrantedRate(customer = "", now: number): SmoothedRate {
        const known = this.grantedRates.get(customer) ?? SmoothedRate.create(timeConstantMilliseconds, now);
        this.grantedRates.set(customer, known);
        return known;
    }
}

function sumAhead(ahead: readonly ListPart<unknown>[]): RequestsAhead {
    const sum: RequestsAhead = { count: 0, cost: 0 };
    for (const { list, count } of ahead) {
        sum.count += count;
        sum.cost += list.getCost(count);
    }
    return sum;
}

function refuseBlocked(request: StartRequest<unknown>, block: StartBlock): StartRefusal {
    return {
        kind: "refuse",
        cause: "the link between its data centres has no capacity in time.",
        bound: StartBound.Link,
        retryAfterMilliseconds: Math.min(block.bookRetry(), request.maximumRetryMilliseconds),
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
