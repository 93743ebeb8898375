import { build, type Histogram } from "hdr-histogram-js";

/** Records the throughput and the latencies of tokens from a start time on. */
export class TokenRecorder {
    private readonly start: number;
    private readonly firstToken = createHistogram();
    private readonly betweenTokens = createHistogram();
    private tokens = 0;
    private positions = 0;

    private constructor(start: number) {
        this.start = start;
    }

    /**
     * Creates a recorder.
     * @param start - Time in milliseconds from which tokens count.
     */
    static create(start: number): TokenRecorder {
        return new TokenRecorder(start);
    }

    /**
     * Records a token.
     * @param now - Time in milliseconds.
     * @param waited - Milliseconds since the previous token, or since the arrival of the request for the first token.
     * @param positions - Number of positions that were processed for the token.
     * @param isFirst - Whether it is the first token of its request.
     */
    record(now: number, waited: number, positions: number, isFirst: boolean): void {
        if (now < this.start) {
            return;
        }
        this.tokens++;
        this.positions += positions;
        const histogram = isFirst ? this.firstToken : this.betweenTokens;
        histogram.recordValue(Math.round(waited * 1_000));
    }

    /**
     * Gets the rates over a number of seconds, and the median, 95th and 99th percentile of the latencies in
     * milliseconds.
     */
    getResult(seconds: number) {
        return {
            tokensPerSecond: this.tokens / seconds,
            positionsPerSecond: this.positions / seconds,
            firstToken: getPercentiles(this.firstToken),
            betweenTokens: getPercentiles(this.betweenTokens),
        };
    }
}

function getPercentiles(histogram: Histogram): number[] {
    return [50, 95, 99].map(percentile => histogram.getValueAtPercentile(percentile) / 1_000);
}

/** Creates a histogram for times of up to ten minutes, in microseconds. */
function createHistogram(): Histogram {
    return build({ lowestDiscernibleValue: 1, highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 3 });
}
