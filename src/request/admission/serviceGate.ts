import type { RandomSource } from "../../process/randomSource.ts";
import { AdaptiveLimit } from "./adaptiveLimit.ts";
import type { AdmissionRequest } from "./admissionRequest.ts";
import { DrainRate } from "./drainRate.ts";
import { FairQueue } from "./fairQueue.ts";
import type { Refusal } from "./refusal.ts";
import { RefusalKind } from "./refusalKind.ts";
import { RetrySchedule } from "./retrySchedule.ts";

/** Fraction of the allowed wait up to which a request is queued: estimates are inexact, and a late refusal is of no use. */
const maximumQueuedWaitFraction = 0.8;

/** Retry delays are chosen so that the queue will have drained to this fraction of the maximum wait. */
const retryWaitFraction = 0.5;

/** Fraction of the slots that is reserved for customers below their fair share while there are any. */
const reservedSlotFraction = 0.03;

/** Time for which slots stay reserved after a customer below its fair share was next in the queue. */
const reservationMilliseconds = 1_000;

/** An execution of a request that has ended. */
interface EndedRun {
    customer: string;
    weight: number;
    /** Expected cost, in tokens. */
    cost: number;
    /** Tokens that it consumed; 0 if it did not run. */
    tokens: number;
    /** Time for which it held its slot. */
    elapsedMilliseconds: number;
}

/**
 * The gate in front of the endpoints that one or more services share: their concurrency limit, the fair queue of the
 * requests that wait for a slot, and its drain rate. Does no I/O and sets no timers.
 */
export class ServiceGate<T> {
    readonly queue = FairQueue.create<T>();
    private readonly retrySchedule: RetrySchedule;
    private readonly getUpperLimit: () => number;
    private readonly adaptiveLimit = AdaptiveLimit.create();
    private readonly drainRate = DrainRate.create();
    private runningCount = 0;
    private lastUnderShareAt = Number.NEGATIVE_INFINITY;

    private constructor(getUpperLimit: () => number, random: RandomSource) {
        this.getUpperLimit = getUpperLimit;
        this.retrySchedule = RetrySchedule.create(random);
    }

    /**
     * Creates a gate without running or waiting requests.
     * @param getUpperLimit - Gets the concurrency limit that the adaptive limit may only lower.
     * @param random - Source of the jitter of the retry delays.
     */
    static create<T>(getUpperLimit: () => number, random: RandomSource): ServiceGate<T> {
        return new ServiceGate<T>(getUpperLimit, random);
    }

    /** Number of requests in flight. */
    get running(): number {
        return this.runningCount;
    }

    /** Gets the current concurrency limit, in requests. */
    getLimit(): number {
        return this.adaptiveLimit.getLimit(this.getUpperLimit());
    }

    /** Checks if the queue is empty and a slot is free. */
    isOpen(): boolean {
        return this.queue.waitingCount === 0 && this.runningCount < this.getLimit();
    }

    /**
     * Dequeues the next waiting item if there is a free slot for it.
     * @param now - Monotonic time in milliseconds.
     */
    takeNext(now: number): T | undefined {
        if (this.queue.waitingCount === 0) {
            return undefined;
        }
        const isOverShare = this.queue.isNextOverShare();
        if (!isOverShare) {
            this.lastUnderShareAt = now;
        }
        const limit = this.getLimit();
        const isReserving = isOverShare && now - this.lastUnderShareAt < reservationMilliseconds;
        const usableSlots = isReserving ? limit - Math.round(limit * reservedSlotFraction) : limit;
        return this.runningCount < usableSlots ? this.queue.dequeue()?.item : undefined;
    }

    /**
     * Gets the maximum wait after which a request can still end before its deadline.
     * @param request - The arriving request.
     * @param maximum - Maximum wait of any request, in milliseconds.
     * @param now - Monotonic time in milliseconds.
     * @returns Milliseconds; negative if even an immediate start would be too late.
     */
    getAllowedWait(request: AdmissionRequest, maximum: number, now: number): number {
        if (request.deadline === undefined) {
            return maximum;
        }
        return Math.min(maximum, request.deadline - now - this.drainRate.getRunMilliseconds(request.cost));
    }

    /**
     * Gets the refusal of a request that would miss its deadline or wait too long; undefined if it may wait or start.
     * @param request - The arriving request.
     * @param maximum - Maximum wait of any request, in milliseconds.
     * @param now - Monotonic time in milliseconds.
     */
    getWaitRefusal(request: AdmissionRequest, maximum: number, now: number): Refusal | undefined {
        if (this.isOpen()) {
            // Starts the request even if the estimated run exceeds the deadline: only runs can correct an outdated estimate.
            const isLate = request.deadline !== undefined && request.deadline <= now;
            return isLate ? this.createWaitRefusal(request, maximum, now) : undefined;
        }
        const allowed = this.getAllowedWait(request, maximum, now) * maximumQueuedWaitFraction;
        return this.exceedsAllowedWait(request.customer, allowed)
            ? this.createWaitRefusal(request, maximum, now)
            : undefined;
    }

    /**
     * Creates the refusal of a request that would not start or end in time.
     * @param request - The refused request.
     * @param maximum - Maximum wait of any request, in milliseconds.
     * @param now - Monotonic time in milliseconds.
     */
    createWaitRefusal(request: AdmissionRequest, maximum: number, now: number): Refusal {
        return {
            kind: RefusalKind.WaitTooLong,
            retryAfterMilliseconds: this.scheduleRetry(request, maximum, now),
            message: "The request would not end in time and has not run. "
                + "Send it again after the given time, or allow it more time.",
        };
    }

    /**
     * Creates the refusal of a request for which the queue is full.
     * @param request - The refused request.
     * @param maximum - Maximum wait of any request, in milliseconds.
     * @param now - Monotonic time in milliseconds.
     */
    createQueueRefusal(request: AdmissionRequest, maximum: number, now: number): Refusal {
        return {
            kind: RefusalKind.QueueFull,
            retryAfterMilliseconds: this.scheduleRetry(request, maximum, now),
            message: "The queue is full and the request has not run. "
                + "Send it again after the given time, or raise limits.maximumQueuedRequests in the configuration.",
        };
    }

    /** Counts a started request; call {@link ServiceGate.finish} exactly once for each. */
    start(): void {
        this.runningCount++;
    }

    /**
     * Releases the slot of a request, charges its customer for the difference from the expected cost and updates the estimates.
     * @param run - The ended execution.
     * @param now - Monotonic time in milliseconds.
     */
    finish(run: EndedRun, now: number): void {
        if (run.tokens > 0) {
            this.adaptiveLimit.observeSuccess(this.runningCount, this.getUpperLimit());
            this.drainRate.observe(run.cost, run.elapsedMilliseconds, now);
        }
        this.runningCount--;
        this.queue.charge(run.customer, run.weight, run.tokens - run.cost);
    }

    /**
     * Lowers the adaptive limit after an engine refused an admitted request for lack of memory.
     * @param now - Monotonic time in milliseconds.
     */
    observeRefusal(now: number): void {
        const meanRunMilliseconds = this.drainRate.getMeanRunMilliseconds() ?? 0;
        this.adaptiveLimit.observeRefusal(this.runningCount, meanRunMilliseconds, now);
    }

    /** Checks if a new request of a customer would wait longer than allowed; the time is in milliseconds. */
    private exceedsAllowedWait(customer: string, allowed: number): boolean {
        const rate = this.getDrainRate();
        if (allowed < 0 || rate === undefined || rate <= 0) {
            return allowed < 0;
        }
        const allowedCost = allowed * rate;
        return this.queue.waitingCost > allowedCost && this.queue.isCostAheadOver(customer, allowedCost);
    }

    private scheduleRetry(request: AdmissionRequest, maximum: number, now: number): number {
        const rate = this.getDrainRate();
        const baseDelayMilliseconds = rate
            ? Math.max(0, this.queue.waitingCost / rate - maximum * retryWaitFraction)
            : 0;
        return this.retrySchedule.schedule({ cost: request.cost, rate, baseDelayMilliseconds, now });
    }

    /** Gets the drain rate of the queue, in tokens a millisecond; undefined before the first run has ended. */
    private getDrainRate(): number | undefined {
        return this.drainRate.getRate(this.getLimit());
    }
}
