import type { Clock } from "../../process/clock.ts";
import type { Metrics } from "../../process/metrics/metrics.ts";

const millisecondsPerSecond = 1_000;

/** Measures the time to the first token of an answer and the times between its tokens. */
export class TokenTimes {
    private readonly clock: Clock;
    private readonly metrics: Metrics;
    private lastAt: number;
    private isFirst = true;

    private constructor(clock: Clock, metrics: Metrics, arrivedAt: number) {
        this.clock = clock;
        this.metrics = metrics;
        this.lastAt = arrivedAt;
    }

    /** @param arrivedAt - Monotonic time of the request's arrival, in milliseconds. */
    static create(clock: Clock, metrics: Metrics, arrivedAt: number): TokenTimes {
        return new TokenTimes(clock, metrics, arrivedAt);
    }

    /** Notes that a token has been accepted. */
    observeToken(): void {
        this.metrics.countToken();
        const now = this.clock.getMonotonicTime();
        const histogram = this.isFirst ? this.metrics.firstTokenSeconds : this.metrics.betweenTokensSeconds;
        histogram.observe((now - this.lastAt) / millisecondsPerSecond);
        this.isFirst = false;
        this.lastAt = now;
    }
}
