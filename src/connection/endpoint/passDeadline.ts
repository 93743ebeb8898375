/** Lower limit of deadlines, so that a garbage collection pause on either side doesn't exceed the deadline. */
const minimumDeadlineMilliseconds = 150;
const maximumDeadlineMilliseconds = 10_000;
/** Lower limit of a probe's timeout. A probe opens a connection and makes a small call: two round trips and no engine step. */
const minimumProbeMilliseconds = 200;
const maximumProbeMilliseconds = 2_000;
/** Ratio of the timeout of a probe to the deadline of a decode pass. */
const probeFactor = 4 / 3;
/** Estimated mean time of a decode pass before the first sample. */
const initialDecodeMilliseconds = 100;
/** Estimated mean time per position that a prefill pass takes longer than a decode pass, before the first sample. */
const initialPositionMilliseconds = 2;
/** Weight of a new sample in the moving averages of the mean and of the deviation. */
const smoothingFactor = 0.1;
/** Number of mean deviations in an upper bound, see {@link getUpperBound}. */
const deviationFactor = 6;
/** Factor of the mean in an upper bound, see {@link getUpperBound}. */
const meanFactor = 2;

/** Exponential moving averages of a time and of its absolute deviation from the mean, in milliseconds. */
interface MovingAverage {
    mean: number;
    deviation: number;
}

/**
 * Estimates the deadlines of the passes of one endpoint, from the times that its passes took. When a pass exceeds its
 * deadline, the caller checks the endpoint with a probe. The time of a decode pass, which has one position, and the time per
 * position by which a prefill pass takes longer than a decode pass have separate averages.
 */
export class PassDeadline {
    private readonly decode: MovingAverage = {
        mean: initialDecodeMilliseconds,
        deviation: initialDecodeMilliseconds / 2,
    };
    private readonly position: MovingAverage = {
        mean: initialPositionMilliseconds,
        deviation: initialPositionMilliseconds / 2,
    };

    private constructor() {}

    /** Creates an estimator that returns the initial estimates until the first sample. */
    static create(): PassDeadline {
        return new PassDeadline();
    }

    /**
     * Adds the time of a pass with a result.
     * @param positions - Number of positions that the engine ran. Results without positions are ignored.
     * @param elapsedMilliseconds - Time from the send to the result.
     */
    observe(positions: number, elapsedMilliseconds: number): void {
        if (positions < 1) {
            return;
        }
        if (positions === 1) {
            updateAverage(this.decode, elapsedMilliseconds);
            return;
        }
        updateAverage(this.position, Math.max(0, elapsedMilliseconds - this.decode.mean) / positions);
    }

    /**
     * Gets the deadline of a pass in milliseconds after its send.
     * @param positions - Number of positions of the pass.
     */
    getDeadline(positions: number): number {
        const decodeMilliseconds = getUpperBound(this.decode);
        const prefillMilliseconds = positions === 1 ? 0 : positions * getUpperBound(this.position);
        const deadlineMilliseconds = decodeMilliseconds + prefillMilliseconds;
        return Math.min(maximumDeadlineMilliseconds, Math.max(minimumDeadlineMilliseconds, deadlineMilliseconds));
    }

    /**
     * Gets the timeout of a probe over a new connection, in whole milliseconds. It grows with the latency of the link, since
     * the times of the passes include it.
     */
    getProbeTimeout(): number {
        const timeoutMilliseconds = Math.ceil(probeFactor * this.getDeadline(1));
        return Math.min(maximumProbeMilliseconds, Math.max(minimumProbeMilliseconds, timeoutMilliseconds));
    }
}

/**
 * Adds a sample to the averages. As in the retransmission timer of TCP (RFC 6298), the deviation is measured from the mean
 * before the sample. The RFC gives the sample a weight of 1/8 in the mean and 1/4 in the deviation; here both are 1/10.
 */
function updateAverage(time: MovingAverage, sampleMilliseconds: number): void {
    const deviation = sampleMilliseconds - time.mean;
    time.mean += smoothingFactor * deviation;
    time.deviation += smoothingFactor * (Math.abs(deviation) - time.deviation);
}

/**
 * Gets an upper bound of a time from its averages. RFC 6298 adds 4 mean deviations to the mean; this adds 6 to twice the
 * mean.
 */
function getUpperBound(time: MovingAverage): number {
    return meanFactor * time.mean + deviationFactor * time.deviation;
}
