import type { Clock, TimerHandle } from "../clock.ts";

/** Options of a {@link RefusalGate}. */
interface RefusalGateOptions {
    clock: Clock;
    /** Whether the copy of the configuration is proven to have all changes that must be in force. */
    isCopyCurrent(): boolean;
    /** Whether the store does not answer this node, so that no call would prove its copy. */
    isWithoutStore(): boolean;
    /** Proves by calls that the copy is current, or finds what it lacks. Makes no call while one is in flight. */
    confirmCopy(): void;
}

/** A request that waits for the proof. */
interface Waiter {
    /** Monotonic time in milliseconds at which it is told that there is no proof. */
    until: number;
    onDecided(isProven: boolean): void;
}

/** Maximum time that a request waits for the proof. A call to the store that takes longer is of no use to most callers. */
const maximumWaitMilliseconds = 500;
/** Interval at which the proof is looked for. */
const checkIntervalMilliseconds = 20;
/** Minimum interval between two calls to the store, which may refuse them at once. */
const callIntervalMilliseconds = 250;
/** Maximum number of requests that wait; more are told at once that there is no proof, so that they take no memory. */
const maximumWaiters = 200;

/**
 * Holds back refusals which say that a route or key does not exist, while the node's copy of the store may lack it. One call proves the copy for
 * all requests that wait, and calls have a minimum interval, so that requests for what never existed cannot drive up their number.
 */
export class RefusalGate {
    private readonly options: RefusalGateOptions;
    private readonly waiters = new Set<Waiter>();
    private timer: TimerHandle | undefined;
    private lastCallAt = -Infinity;

    private constructor(options: RefusalGateOptions) {
        this.options = options;
    }

    /** Creates a gate without waiting requests. */
    static create(options: RefusalGateOptions): RefusalGate {
        return new RefusalGate(options);
    }

    /** Checks if what the copy lacks does not exist. */
    isOpen(): boolean {
        return this.options.isCopyCurrent();
    }

    /**
     * Waits until the copy is proven to be current.
     * @param maximumMilliseconds - How long the request can wait at most.
     * @param onDecided - Called once: with true if the copy is proven, or with false if it can't be proven in time.
     * @returns A function that ends the wait without a call of `onDecided`.
     */
    wait(maximumMilliseconds: number, onDecided: (isProven: boolean) => void): () => void {
        const { clock, isWithoutStore } = this.options;
        if (isWithoutStore() || this.waiters.size >= maximumWaiters) {
            onDecided(false);
            return () => undefined;
        }
        const until = clock.getMonotonicTime() + Math.min(maximumMilliseconds, maximumWaitMilliseconds);
        const waiter = { until, onDecided };
        this.waiters.add(waiter);
        if (this.timer === undefined) {
            this.check();
        }
        return () => void this.waiters.delete(waiter);
    }

    private check(): void {
        const { clock, isCopyCurrent, isWithoutStore } = this.options;
        this.timer = undefined;
        const isProven = isCopyCurrent();
        const isHopeless = isWithoutStore();
        const now = clock.getMonotonicTime();
        for (const waiter of [...this.waiters]) {
            if (isProven || isHopeless || now >= waiter.until) {
                this.waiters.delete(waiter);
                waiter.onDecided(isProven);
            }
        }
        if (this.waiters.size > 0) {
            this.callStore(now);
            this.timer = clock.setTimer(checkIntervalMilliseconds, () => this.check());
        }
    }

    private callStore(now: number): void {
        if (now - this.lastCallAt >= callIntervalMilliseconds) {
            this.lastCallAt = now;
            this.options.confirmCopy();
        }
    }
}
