import type { StepTimeEstimate } from "./stepTimeEstimate.ts";

/** Weight of a decode time below the current estimate. High, so that passes without waiting are adopted quickly. */
const fasterDecodeWeight = 0.1;
/** Weight of a decode time above the current estimate. Low, because most of these times include waiting. */
const slowerDecodeWeight = 0.001;
/** Weight of a new value in the moving averages of queue lengths, waits and prefill times. */
const averageWeight = 0.03;
/** Average queue length below which the wait per waiting pass cannot be estimated. */
const minimumAverageQueueLength = 0.2;

/** Step times learned for one endpoint. */
export class StepTimes {
    readonly accelerator: string;
    /** Time of a decode step for one layer. Undefined if it is neither configured nor observed. */
    decodeMilliseconds: number | undefined;
    /** Time of one prompt position in one layer. Undefined if it was not observed. */
    prefillMilliseconds: number | undefined;
    /** Number of observed decode passes. */
    decodeObservations = 0;
    /** Moving average of the time that decode passes waited. */
    private averageWaitMilliseconds = 0;
    /** Moving average of the number of waiting passes. */
    private averageQueueLength = 0;

    private constructor(accelerator: string, decodeMilliseconds: number | undefined) {
        this.accelerator = accelerator;
        this.decodeMilliseconds = decodeMilliseconds;
    }

    /**
     * Creates the step times of an endpoint without observations.
     * @param accelerator - Kind of accelerator, or an empty string if unknown.
     * @param decodeMilliseconds - Configured decode time of one layer, if any.
     */
    static create(accelerator: string, decodeMilliseconds: number | undefined): StepTimes {
        return new StepTimes(accelerator, decodeMilliseconds);
    }

    /** Updates the estimate from a decode pass that spent the given time at the endpoint. */
    observeDecode(layers: number, milliseconds: number, queue: number): void {
        const layerMilliseconds = milliseconds / layers;
        const previous = this.decodeMilliseconds ?? layerMilliseconds;
        const decode = previous
            + (layerMilliseconds - previous) * (layerMilliseconds < previous ? fasterDecodeWeight : slowerDecodeWeight);
        this.decodeMilliseconds = decode;
        this.decodeObservations++;
        this.averageWaitMilliseconds += (Math.max(0, milliseconds - decode * layers) - this.averageWaitMilliseconds)
            * averageWeight;
        this.averageQueueLength += (queue - this.averageQueueLength) * averageWeight;
    }

    /** Updates the estimate from a prompt pass that spent the given time at the endpoint. */
    observePrefill(layers: number, positions: number, milliseconds: number): void {
        const positionMilliseconds = milliseconds / (layers * positions);
        const previous = this.prefillMilliseconds ?? positionMilliseconds;
        this.prefillMilliseconds = previous + (positionMilliseconds - previous) * averageWeight;
    }

    /**
     * Gets the estimate.
     * @param fallback - Estimate for the endpoint's kind of accelerator, used for values that were not learned.
     */
    getEstimate(fallback: Readonly<StepTimeEstimate>): StepTimeEstimate {
        const decodeMilliseconds = this.decodeMilliseconds ?? fallback.decodeMilliseconds;
        return {
            decodeMilliseconds,
            prefillMilliseconds: this.prefillMilliseconds ?? fallback.prefillMilliseconds,
            waitMilliseconds: this.averageQueueLength < minimumAverageQueueLength
                ? fallback.waitMilliseconds
                : this.averageWaitMilliseconds / this.averageQueueLength,
            uncertainty: fallback.uncertainty / (1 + this.decodeObservations),
        };
    }
}
