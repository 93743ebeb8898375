import type { StepTimeEstimate } from "./stepTimeEstimate.ts";

/** Step time of one layer where neither the configuration nor any observation tells one, in milliseconds. */
const defaultDecodeMilliseconds = 0.5;
/** A prompt position's first guess as a part of a decode step: positions of one step share the weights' loading. */
const prefillPartOfDecode = 1 / 8;
/** Weight of a new observation in the moving average, once a few were seen. */
const observationWeight = 0.05;
/** Observations between two computations of the kinds' medians. */
const observationsBetweenMedians = 256;
/** Relative uncertainty of an estimate that rests on no observation. */
const initialUncertainty = 0.5;

const RISE = Number(process.env.RISE ?? 0.01);
interface StepTimes {
    excess: number;
    queue: number;
    accelerator: string;
    decodeMilliseconds: number | undefined;
    decodeObservations: number;
    prefillMilliseconds: number | undefined;
    prefillObservations: number;
}

/**
 * Learns step times per endpoint from passes. An endpoint that was not observed starts from its configured step time,
 * or else from the median of its kind of accelerator, or else from the median of all.
 */
export class StepTimeEstimator {
    private readonly endpoints = new Map<string, StepTimes>();
    private readonly medians = new Map<string, { decode: number; prefill: number; }>();
    private observationsUntilMedians = 0;

    private constructor() {}

    /** Creates an estimator that knows no endpoints. */
    static create(): StepTimeEstimator {
        return new StepTimeEstimator();
    }

    /**
     * Adds an endpoint; one that is known already keeps what was learnt.
     * @param endpoint - Name of the endpoint.
     * @param accelerator - Kind of accelerator; empty where unknown.
     * @param decodeMilliseconds - Configured step time of one layer, in milliseconds.
     */
    addEndpoint(endpoint: string, accelerator: string, decodeMilliseconds: number | undefined): void {
        if (!this.endpoints.has(endpoint)) {
            this.endpoints.set(endpoint, {
                accelerator,
                excess: 0,
                queue: 0,
                decodeMilliseconds,
                decodeObservations: 0,
                prefillMilliseconds: undefined,
                prefillObservations: 0,
            });
            this.observationsUntilMedians = 0;
        }
    }

    /**
     * Learns from one pass.
     * @param endpoint - Name of the endpoint.
     * @param layers - Layers that the pass ran through.
     * @param positions - Positions of the pass; one is a decode step, more are prefill.
     * @param milliseconds - Time at the endpoint, without the link.
     */
    observe(endpoint: string, layers: number, positions: number, milliseconds: number, queue: number): void {
        const times = this.endpoints.get(endpoint);
        if (times === undefined || layers < 1 || positions < 1 || milliseconds < 0) {
            return;
        }
        this.observationsUntilMedians--;
        if (positions === 1) {
            times.decodeObservations++;
            const value = milliseconds / layers;
            const present = times.decodeMilliseconds;
            times.decodeMilliseconds = present === undefined
                ? value
                : present + (value - present) * (value < present ? 0.1 : RISE);
            const excess = milliseconds - layers * times.decodeMilliseconds;
            times.excess += (excess - times.excess) * 0.03;
            times.queue += (queue - times.queue) * 0.03;
            return;
        }
        times.prefillObservations++;
        times.prefillMilliseconds = average(
            times.prefillMilliseconds,
            milliseconds / (layers * positions),
            times.prefillObservations,
        );
    }

    /** Gets the estimate for an endpoint. */
    getEstimate(endpoint: string): StepTimeEstimate {
        if (this.observationsUntilMedians <= 0) {
            this.computeMedians();
        }
        const times = this.endpoints.get(endpoint);
        const median = this.medians.get(times?.accelerator ?? "") ?? this.medians.get("");
        const decode = times?.decodeMilliseconds ?? median?.decode ?? defaultDecodeMilliseconds;
        return {
            decodeMilliseconds: decode,
            prefillMilliseconds: times?.prefillMilliseconds ?? median?.prefill ?? decode * prefillPartOfDecode,
            wait: times && times.queue > 0.2 ? Math.max(0, times.excess) / times.queue : decode * 2,
            uncertainty: initialUncertainty / (1 + (times?.decodeObservations ?? 0)),
        };
    }

    /** Computes the medians of the kinds, and under the empty name that of all endpoints. */
    private computeMedians(): void {
        this.observationsUntilMedians = observationsBetweenMedians;
        this.medians.clear();
        const groups = new Map<string, StepTimes[]>([["", []]]);
        for (const times of this.endpoints.values()) {
            groups.get("")?.push(times);
            if (times.accelerator !== "") {
                groups.set(times.accelerator, [...groups.get(times.accelerator) ?? [], times]);
            }
        }
        for (const [accelerator, group] of groups) {
            const decode = getMedian(group.map(times => times.decodeMilliseconds));
            if (decode !== undefined) {
                const prefill = getMedian(group.map(times => times.prefillMilliseconds));
                this.medians.set(accelerator, { decode, prefill: prefill ?? decode * prefillPartOfDecode });
            }
        }
    }
}

/** Moves an average towards a value: plainly over the first observations, exponentially weighted afterwards. */
function average(present: number | undefined, value: number, observations: number): number {
    return present === undefined
        ? value
        : present + (value - present) * Math.max(observationWeight, 1 / (observations + 1));
}

/** Gets the middle of the known values; undefined where none is known. */
function getMedian(values: readonly (number | undefined)[]): number | undefined {
    const known = values.filter(value => value !== undefined).sort((a, b) => a - b);
    return known[Math.floor(known.length / 2)];
}
