/** Deadlines never fall below this, so that a garbage collection on either side is no miss. */
const minimumDeadlineMilliseconds = 150;
const maximumDeadlineMilliseconds = 10_000;
/** A probe is a new connection and a small call, so it takes two round trips and no step. */
const minimumProbeMilliseconds = 200;
const maximumProbeMilliseconds = 2_000;
const probeFactor = 4 / 3;
const initialDecodeMilliseconds = 100;
const initialPositionMilliseconds = 2;
const smoothingFactor = 0.1;
/** Deviations above the mean after which an answer is overdue, as TCP's retransmission timer does (RFC 6298). */
const deviationFactor = 6;
const meanFactor = 2;

/** A smoothed mean with its mean deviation, as in RFC 6298. */
interface SmoothedTime {
    mean: number;
    deviation: number;
}

/**
 * How long to wait for the result of a pass before the connection is doubted, learnt for one endpoint.
 * Decode passes (one position) and prefill passes (per position) are learnt apart.
 */
export class HopDeadline {
    private readonly decode: SmoothedTime = {
        mean: initialDecodeMilliseconds,
        deviation: initialDecodeMilliseconds / 2,
    };
    private readonly position: SmoothedTime = {
        mean: initialPositionMilliseconds,
        deviation: initialPositionMilliseconds / 2,
    };

    private constructor() {}

    /** Creates a deadline that has learnt nothing yet. */
    static create(): HopDeadline {
        return new HopDeadline();
    }

    /**
     * Learns from a pass that was answered.
     * @param positions - Positions of the pass, as the engine counted them; nothing is learnt from less than one.
     * @param elapsedMilliseconds - From sending to the result.
     */
    observe(positions: number, elapsedMilliseconds: number): void {
        if (positions < 1) {
            return;
        }
        if (positions === 1) {
            smooth(this.decode, elapsedMilliseconds);
            return;
        }
        smooth(this.position, Math.max(0, elapsedMilliseconds - this.decode.mean) / positions);
    }

    /**
     * Gets the time after which a pass is overdue, in milliseconds.
     * @param positions - Positions of the pass.
     */
    getDeadline(positions: number): number {
        const decodeMilliseconds = getUpperTime(this.decode);
        const prefillMilliseconds = positions === 1 ? 0 : positions * getUpperTime(this.position);
        const deadlineMilliseconds = decodeMilliseconds + prefillMilliseconds;
        return Math.min(maximumDeadlineMilliseconds, Math.max(minimumDeadlineMilliseconds, deadlineMilliseconds));
    }

    /** Gets the time that a probe over a new connection may take, in whole milliseconds; longer on a longer link. */
    getProbeTimeout(): number {
        const timeoutMilliseconds = Math.ceil(probeFactor * this.getDeadline(1));
        return Math.min(maximumProbeMilliseconds, Math.max(minimumProbeMilliseconds, timeoutMilliseconds));
    }
}

function smooth(time: SmoothedTime, sampleMilliseconds: number): void {
    const error = sampleMilliseconds - time.mean;
    time.mean += smoothingFactor * error;
    time.deviation += smoothingFactor * (Math.abs(error) - time.deviation);
}

function getUpperTime(time: SmoothedTime): number {
    return meanFactor * time.mean + deviationFactor * time.deviation;
}
