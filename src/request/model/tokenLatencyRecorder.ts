import type { Clock } from "../../process/clock.ts";
import type { Metrics } from "../../process/metrics/metrics.ts";

const millisecondsPerSecond = 1_000;

/** Records the time to the first token of an answer and the times between its tokens. */
export class TokenLatencyRecorder {
    private readonly clock: Clock;
    private readonly metrics: Metrics;
    /** Time of the last token, or of the request's arrival before the first token. */
    private lastAt: number;
    private isFirst = true;

    private constructor(clock: Clock, metrics: Metrics, arrivedAt: number) {
        this.clock = clock;
        this.metrics = metrics;
        this.lastAt = arrivedAt;
    }

    /**
     * Creates the recorder of one answer.
     * @param arrivedAt - Monotonic time of the request's arrival, in milliseconds.
     */
    static create(clock: Clock, metrics: Metrics, arrivedAt: number): TokenLatencyRecorder {
        return new TokenLatencyRecorder(clock, metrics, arrivedAt);
    }

    /** Records an accepted token. */
    observeToken(): void {
        this.metrics.countToken();
        const now = this.clock.getMonotonicTime();
        const histogram = this.isFirst ? this.metrics.firstTokenSeconds : this.metrics.betweenTokensSeconds;
        histogram.observe((now - this.lastAt) / millisecondsPerSecond);
        this.isFirst = false;
        this.lastAt = now;
    }
}
