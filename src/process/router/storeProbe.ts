import type { Clock, TimerHandle } from "../clock.ts";

/** Options of a {@link StoreProbe}. */
interface StoreProbeOptions {
    clock: Clock;
    /** Makes the cheapest call that the store has; false where it isn't answered soon. */
    callStore(): Promise<boolean>;
    /** Time between two calls, in milliseconds. */
    intervalMilliseconds: number;
}

/** Finds out early that the store no longer answers this node, on whose waiting calls others depend. */
export class StoreProbe {
    private readonly options: StoreProbeOptions;
    private timer: TimerHandle | undefined;
    private isActive = false;
    private isCalling = false;
    private lastAnswerAt = -Infinity;
    private isAnswered = true;

    private constructor(options: StoreProbeOptions) {
        this.options = options;
    }

    /** Creates a probe that is not active. */
    static create(options: StoreProbeOptions): StoreProbe {
        return new StoreProbe(options);
    }

    /** Probes from now on, or no more. */
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

    /** Whether the last call was answered. */
    isInContact(): boolean {
        return this.isAnswered;
    }

    /** Gets the monotonic time in milliseconds at which the last answered call was sent. */
    getLastAnswer(): number {
        return this.lastAnswerAt;
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
        this.timer = clock.setTimer(this.options.intervalMilliseconds, () => void this.probe());
    }
}
