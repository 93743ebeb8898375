import { RetryDelay } from "./retryDelay.ts";

/** Maximum time for which a request waits for an endpoint that accepts it. */
const maximumWaitMilliseconds = 2_000;
/** Maximum wait as a fraction of the remaining time. The caller needs the rest to send the request again. */
const waitFraction = 0.5;

/** Decides for how long a request that may have run waits for an endpoint that accepts it, and when it asks the next one. */
export class RetryWait {
    private endsAt: number | undefined;
    private readonly delay = RetryDelay.create();

    private constructor() {}

    /** Creates the wait of a request that has not waited yet. */
    static create(): RetryWait {
        return new RetryWait();
    }

    /** Checks if the request has waited. */
    hasBegun(): boolean {
        return this.endsAt !== undefined;
    }

    /**
     * Gets the time in milliseconds after which the next endpoint may be asked; undefined if the request has waited for long enough.
     * @param now - Monotonic time in milliseconds.
     * @param dueAt - Monotonic time at which the request must be answered, in milliseconds.
     */
    takeDelay(now: number, dueAt: number): number | undefined {
        this.endsAt ??= now + Math.min(maximumWaitMilliseconds, waitFraction * (dueAt - now));
        const delayMilliseconds = this.delay.take();
        return now + delayMilliseconds > this.endsAt ? undefined : delayMilliseconds;
    }
}
