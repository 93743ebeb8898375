import type { RandomSource } from "../../process/randomSource.ts";
import { AdaptiveLimit } from "./adaptiveLimit.ts";
import type { AdmissionRequest } from "./admissionRequest.ts";
import { DrainRate } from "./drainRate.ts";
import { FairQueue } from "./fairQueue.ts";
import type { Refusal } from "./refusal.ts";
import { RefusalKind } from "./refusalKind.ts";
import { ReturnSchedule } from "./returnSchedule.ts";

/** Part of the allowed wait up to which a request is queued: estimates err, and a late refusal helps nobody. */
const queuedPart = 0.8;

/** Part of the allowed wait to which the queue has drained when a refused caller comes back. */
const returnPart = 0.5;

/** Part of the places that is kept for customers under their share while there are any. */
const reservedPart = 0.03;

/** Time after the last request of a customer under its share for which places are kept, in milliseconds. */
const reservedMilliseconds = 1_000;

/** A run that ended. */
interface EndedRun {
    customer: string;
    weight: number;
    /** Expected cost, in tokens. */
    cost: number;
    /** Tokens that it took; 0 where it did not run. */
    tokens: number;
    /** Time that it held its place. */
    elapsedMilliseconds: number;
}

/**
 * The admission of the services that share endpoints: what runs, what waits, and how fast it drains. Does no I/O and
 * sets no timers.
 */
export class ServiceGate<T> {
    readonly queue = FairQueue.create<T>();
    private readonly returns: ReturnSchedule;
    private readonly getGivenLimit: () => number;
    private readonly adaptiveLimit = AdaptiveLimit.create();
    private readonly drainRate = DrainRate.create();
    private runningCount = 0;
    private underShareAt = Number.NEGATIVE_INFINITY;

    private constructor(getGivenLimit: () => number, random: RandomSource) {
        this.getGivenLimit = getGivenLimit;
        this.returns = ReturnSchedule.create(random);
    }

    /**
     * @param getGivenLimit - Gets the requests that may run at the same time, before what is learned.
     * @param random - Source of the spread of returns.
     */
    static create<T>(getGivenLimit: () => number, random: RandomSource): ServiceGate<T> {
        return new ServiceGate<T>(getGivenLimit, random);
    }

    /** Requests in progress. */
    get running(): number {
        return this.runningCount;
    }

    /** Gets the requests that may run at the same time now. */
    getLimit(): number {
        return this.adaptiveLimit.getLimit(this.getGivenLimit());
    }

    /** Whether nothing waits and a place is free. */
    isOpen(): boolean {
        return this.queue.waitingCount === 0 && this.runningCount < this.getLimit();
    }

    /**
     * Takes the waiting item that goes next, where there is a place for it.
     * @param now - Monotonic time in milliseconds.
     */
    takeNext(now: number): T | undefined {
        if (this.queue.waitingCount === 0) {
            return undefined;
        }
        const isOverShare = this.queue.isNextOverShare();
        if (!isOverShare) {
            this.underShareAt = now;
        }
        const limit = this.getLimit();
        const isReserving = isOverShare && now - this.underShareAt < reservedMilliseconds;
        const usable = isReserving ? limit - Math.round(limit * reservedPart) : limit;
        return this.runningCount < usable ? this.queue.dequeue()?.item : undefined;
    }

    /**
     * Gets the longest wait after which a request can still end in time.
     * @param request - Request that arrives now.
     * @param maximum - Longest wait of any request, in milliseconds.
     * @param now - Monotonic time in milliseconds.
     * @returns Milliseconds; negative where even a start at once would be too late.
     */
    getAllowedWait(request: AdmissionRequest, maximum: number, now: number): number {
        if (request.deadline === undefined) {
            return maximum;
        }
        return Math.min(maximum, request.deadline - now - this.drainRate.getRunMilliseconds(request.cost));
    }

    /**
     * Gets the refusal of a request that would not end in time; undefined where it may wait or start.
     * @param request - Request that arrives now.
     * @param maximum - Longest wait of any request, in milliseconds.
     * @param now - Monotonic time in milliseconds.
     */
    getWaitRefusal(request: AdmissionRequest, maximum: number, now: number): Refusal | undefined {
        if (this.isOpen()) {
            // A run is tried even where it looks too long: only runs can show that the estimate is out of date.
            const isLate = request.deadline !== undefined && request.deadline <= now;
            return isLate ? this.createWaitRefusal(request, maximum, now) : undefined;
        }
        const allowed = this.getAllowedWait(request, maximum, now) * queuedPart;
        return this.isWaitOver(request.customer, allowed) ? this.createWaitRefusal(request, maximum, now) : undefined;
    }

    /**
     * Creates the refusal of a request that would not start, or end, in time.
     * @param request - The refused request.
     * @param maximum - Longest wait of any request, in milliseconds.
     * @param now - Monotonic time in milliseconds.
     */
    createWaitRefusal(request: AdmissionRequest, maximum: number, now: number): Refusal {
        return {
            kind: RefusalKind.WaitTooLong,
            retryAfterMilliseconds: this.bookReturn(request, maximum, now),
            message: "The request would not end in time and has not run. "
                + "Send it again after the given time, or allow it more time.",
        };
    }

    /**
     * Creates the refusal of a request for which the queue has no place.
     * @param request - The refused request.
     * @param maximum - Longest wait of any request, in milliseconds.
     * @param now - Monotonic time in milliseconds.
     */
    createQueueRefusal(request: AdmissionRequest, maximum: number, now: number): Refusal {
        return {
            kind: RefusalKind.QueueFull,
            retryAfterMilliseconds: this.bookReturn(request, maximum, now),
            message: "The queue is full and the request has not run. "
                + "Send it again after the given time, or raise limits.maximumQueuedRequests in the configuration.",
        };
    }

    /** Counts a run that starts; each is ended by one call of {@link ServiceGate.finish}. */
    start(): void {
        this.runningCount++;
    }

    /**
     * Gives the place of a run back, settles its customer's account and learns from it.
     * @param run - The run that ended.
     * @param now - Monotonic time in milliseconds.
     */
    finish(run: EndedRun, now: number): void {
        if (run.tokens > 0) {
            this.adaptiveLimit.observeSuccess(this.runningCount, this.getGivenLimit());
            this.drainRate.observe(run.cost, run.elapsedMilliseconds, now);
        }
        this.runningCount--;
        this.queue.charge(run.customer, run.weight, run.tokens - run.cost);
    }

    /**
     * Learns that an engine had no memory for a request that was admitted.
     * @param now - Monotonic time in milliseconds.
     */
    observeRefusal(now: number): void {
        const round = this.drainRate.getMeanRunMilliseconds() ?? 0;
        this.adaptiveLimit.observeRefusal(this.runningCount, round, now);
    }

    /** Whether a customer's new request would wait longer than is allowed, in milliseconds. */
    private isWaitOver(customer: string, allowed: number): boolean {
        const rate = this.getRate();
        if (allowed < 0 || rate === undefined || rate <= 0) {
            return allowed < 0;
        }
        const allowedCost = allowed * rate;
        return this.queue.waitingCost > allowedCost && this.queue.isCostAheadOver(customer, allowedCost);
    }

    private bookReturn(request: AdmissionRequest, maximum: number, now: number): number {
        const rate = this.getRate();
        const excessMilliseconds = rate ? Math.max(0, this.queue.waitingCost / rate - maximum * returnPart) : 0;
        return this.returns.book({ cost: request.cost, rate, excessMilliseconds, now });
    }

    /** Gets the cost that drains in a millisecond; undefined before the first run has ended. */
    private getRate(): number | undefined {
        return this.drainRate.getRate(this.getLimit());
    }
}
