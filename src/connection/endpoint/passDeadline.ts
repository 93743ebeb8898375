/** Lower limit of deadlines, so that a garbage collection pause on either side doesn't exceed the deadline. */
const minimumDeadlineMilliseconds = 150;
const maximumDeadlineMilliseconds = 10_000;
/** A probe opens a connection and makes a small call: two round trips and no engine step. */
const minimumProbeMilliseconds = 200;
const maximumProbeMilliseconds = 2_000;
const probeFactor = 4 / 3;
const initialDecodeMilliseconds = 100;
const initialPositionMilliseconds = 2;
const smoothingFactor = 0.1;
/** Number of mean deviations that are added to the scaled mean, as in TCP's retransmission timer (RFC 6298). */
const deviationFactor = 6;
const meanFactor = 2;

/** An exponential moving average and its mean deviation, as in RFC 6298. */
interface MovingAverage {
    mean: number;
    deviation: number;
}

/**
 * Learns how long to wait for the result of a pass of one endpoint before its connection is checked by a probe.
 * Decode passes (one position) and prefill passes (time per position) have separate averages.
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

    /** Creates a deadline from the initial estimates. */
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
     * Gets the timeout of a probe over a new connection, in whole milliseconds. It grows with the latency of the link.
     */
    getProbeTimeout(): number {
        const timeoutMilliseconds = Math.ceil(probeFactor * this.getDeadline(1));
        return Math.min(maximumProbeMilliseconds, Math.max(minimumProbeMilliseconds, timeoutMilliseconds));
    }
}

function updateAverage(time: MovingAverage, sampleMilliseconds: number): void {
    const deviation = sampleMilliseconds - time.mean;
    time.mean += smoothingFactor * deviation;
    time.deviation += smoothingFactor * (Math.abs(deviation) - time.deviation);
}

function getUpperBound(time: MovingAverage): number {
    return meanFactor * time.mean + deviationFactor * time.deviation;
}
