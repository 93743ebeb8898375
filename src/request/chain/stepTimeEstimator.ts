import type { StepTimeEstimate } from "./stepTimeEstimate.ts";
import { StepTimes } from "./stepTimes.ts";

/** Decode time of one layer if it is neither configured nor observed. */
const defaultDecodeMilliseconds = 0.5;
/** Initial prefill time per position relative to a decode step. Positions of one step share the read of the weights. */
const prefillToDecodeRatio = 1 / 8;
/** Initial wait per waiting pass relative to the decode time of one layer. */
const waitToDecodeRatio = 2;
/** Number of observations after which the medians are computed again. */
const observationsPerMedianRefresh = 20_000;
/** Relative uncertainty of an estimate without observations. */
const initialUncertainty = 0.25;

/**
 * Learns the step times of endpoints from passes. An endpoint without observations starts from its configured step
 * time, or from the median of its kind of accelerator, or from the median of all endpoints.
 */
export class StepTimeEstimator {
    private readonly stepTimesByEndpoint = new Map<string, StepTimes>();
    /** Medians by kind of accelerator. The empty string stands for all endpoints. */
    private readonly mediansByAccelerator = new Map<string, StepTimeEstimate>();
    private observationsUntilRefresh = 0;

    private constructor() {}

    /** Creates an estimator without endpoints. */
    static create(): StepTimeEstimator {
        return new StepTimeEstimator();
    }

    /**
     * Adds an endpoint. An endpoint that was already added keeps its learned step times.
     * @param endpoint - Name of the endpoint.
     * @param accelerator - Kind of accelerator, or an empty string if unknown.
     * @param decodeMilliseconds - Configured decode time of one layer, if any.
     */
    addEndpoint(endpoint: string, accelerator: string, decodeMilliseconds: number | undefined): void {
        if (!this.stepTimesByEndpoint.has(endpoint)) {
            this.stepTimesByEndpoint.set(endpoint, StepTimes.create(accelerator, decodeMilliseconds));
            this.observationsUntilRefresh = 0;
        }
    }

    /** Removes an endpoint and its learned step times. */
    removeEndpoint(endpoint: string): void {
        this.stepTimesByEndpoint.delete(endpoint);
    }

    /**
     * Updates the step times from one pass. A pass with more than one position is a prompt.
     * @param endpoint - Name of the endpoint.
     * @param pass - Number of layers and positions of the pass, and the queue length when it was answered.
     * @param milliseconds - Time at the endpoint, without link latency.
     */
    observe(
        endpoint: string,
        pass: { layers: number; positions: number; queue: number; },
        milliseconds: number,
    ): void {
        const times = this.stepTimesByEndpoint.get(endpoint);
        if (times === undefined || pass.layers < 1 || pass.positions < 1) {
            return;
        }
        this.observationsUntilRefresh--;
        if (pass.positions === 1) {
            times.observeDecode(pass.layers, milliseconds, pass.queue);
        }
        else {
            times.observePrefill(pass.layers, pass.positions, milliseconds);
        }
    }

    /** Gets the estimate for an endpoint. */
    getEstimate(endpoint: string): StepTimeEstimate {
        if (this.observationsUntilRefresh <= 0) {
            this.computeMedians();
        }
        const times = this.stepTimesByEndpoint.get(endpoint);
        const median = this.mediansByAccelerator.get(times?.accelerator ?? "") ?? this.mediansByAccelerator.get("")
            ?? createEstimate([]);
        return times?.getEstimate(median) ?? median;
    }

    private computeMedians(): void {
        this.observationsUntilRefresh = observationsPerMedianRefresh;
        this.mediansByAccelerator.clear();
        const groups = new Map<string, StepTimes[]>();
        for (const times of this.stepTimesByEndpoint.values()) {
            for (const name of new Set(["", times.accelerator])) {
                const group = groups.get(name) ?? [];
                group.push(times);
                groups.set(name, group);
            }
        }
        for (const [accelerator, group] of groups) {
            if (accelerator === "" || group.some(times => times.decodeMilliseconds !== undefined)) {
                this.mediansByAccelerator.set(accelerator, createEstimate(group));
            }
        }
    }
}

/** Creates an estimate from the medians of a group. */
function createEstimate(group: readonly StepTimes[]): StepTimeEstimate {
    const decodeMilliseconds = getMedian(group.map(times => times.decodeMilliseconds)) ?? defaultDecodeMilliseconds;
    const prefillMilliseconds = getMedian(group.map(times => times.prefillMilliseconds))
        ?? decodeMilliseconds * prefillToDecodeRatio;
    const waitMilliseconds = decodeMilliseconds * waitToDecodeRatio;
    return { decodeMilliseconds, prefillMilliseconds, waitMilliseconds, uncertainty: initialUncertainty };
}

/** Gets the median of the known values, or undefined if none is known. */
function getMedian(values: readonly (number | undefined)[]): number | undefined {
    const known = values.filter(value => value !== undefined).sort((a, b) => a - b);
    return known[Math.floor(known.length / 2)];
}
