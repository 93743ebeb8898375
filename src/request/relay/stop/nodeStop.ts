/** When the stop of a node began, and when the node ends, as monotonic times in milliseconds. */
interface StopPeriod {
    begunAt: number;
    endsAt: number;
}

/** The stop of a node, from the signal to the end of its process. */
export class NodeStop {
    private period: StopPeriod | undefined;

    private constructor() {}

    /** Creates the stop of a node that goes on. */
    static create(): NodeStop {
        return new NodeStop();
    }

    /** Records that the node stops. */
    begin(period: StopPeriod): void {
        this.period ??= period;
    }

    /**
     * Gets the time until the node ends its requests, in milliseconds; infinite if it goes on.
     * @param now - Monotonic time in milliseconds.
     */
    getRemainingTime(now: number): number {
        return this.period === undefined ? Infinity : this.period.endsAt - now;
    }

    /**
     * Describes the stop for the log entry of a request that ends; no fields if the node goes on.
     * @param arrivedAt - Monotonic time of the request's arrival, in milliseconds.
     * @param now - Monotonic time in milliseconds.
     */
    describe(arrivedAt: number, now: number): Record<string, number> {
        if (this.period === undefined) {
            return {};
        }
        const { begunAt } = this.period;
        return {
            stopMilliseconds: Math.round(now - begunAt),
            arrivedAfterStopMilliseconds: Math.round(arrivedAt - begunAt),
        };
    }
}
