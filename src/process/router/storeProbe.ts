import type { Clock, TimerHandle } from "../clock.ts";

/** Options of a {@link StoreProbe}. */
interface StoreProbeOptions {
    clock: Clock;
    /** Makes the cheapest call to the store; returns false if it is not answered soon. */
    callStore(): Promise<boolean>;
    /** Interval between two calls, in milliseconds. */
    intervalMilliseconds: number;
}

/** Health check of the store. Detects early that it no longer answers this node, since other nodes depend on its watch. */
export class StoreProbe {
    private readonly options: StoreProbeOptions;
    private timer: TimerHandle | undefined;
    private isActive = false;
    private isCalling = false;
    private isAnswered = true;
    private lastAnswerAt = -Infinity;
    private lastFailureAt = -Infinity;

    private constructor(options: StoreProbeOptions) {
        this.options = options;
    }

    /** Creates an inactive probe. */
    static create(options: StoreProbeOptions): StoreProbe {
        return new StoreProbe(options);
    }

    /** Starts or stops probing. */
    setActive(isActive: boolean): void {
        this.isActive = isActive;
        if (!isActive) {
            this.timer?.cancel();
            this.timer = undefined;
            this.isAnswered = true;
        }
        else if (this.timer === undefined && !this.isCalling) {
            this.timer = this.options.clock.setTimer(0, () => void this.probe());
        }
    }

    /** Checks if the last call was answered. */
    isStoreReachable(): boolean {
        return this.isAnswered;
    }

    /** Gets the monotonic time in milliseconds at which the last answered call was sent. */
    getLastAnswer(): number {
        return this.lastAnswerAt;
    }

    /** Gets the monotonic time in milliseconds of the last call that was not answered. */
    getLastFailure(): number {
        return this.lastFailureAt;
    }

    private async probe(): Promise<void> {
        const { clock, callStore } = this.options;
        const sentAt = clock.getMonotonicTime();
        this.timer = undefined;
        this.isCalling = true;
        const isAnswered = await callStore();
        this.isCalling = false;
        if (!this.isActive) {
            return;
        }
        this.isAnswered = isAnswered;
        if (isAnswered) {
            this.lastAnswerAt = sentAt;
        }
        else {
            this.lastFailureAt = clock.getMonotonicTime();
        }
        this.timer = clock.setTimer(this.options.intervalMilliseconds, () => void this.probe());
    }
}
