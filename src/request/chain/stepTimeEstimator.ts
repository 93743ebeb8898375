import type { StepTimeEstimate } from "./stepTimeEstimate.ts";
import { StepTimes } from "./stepTimes.ts";

/** Step time of one layer where neither the configuration nor any observation tells one, in milliseconds. */
const defaultDecodeMilliseconds = 0.5;
/** A prompt position's first guess as a part of a decode step: positions of one step share the weights' loading. */
const prefillPartOfDecode = 1 / 8;
/** First guess of the wait for one waiting pass, in layers of a decode step. */
const waitInLayers = 2;
/** Observations between two computations of the kinds' medians. */
const observationsBetweenMedians = 20_000;
/** Relative uncertainty of an estimate that rests on no observation. */
const initialUncertainty = 0.25;

/**
 * Learns step times per endpoint from passes. An endpoint that was not observed starts from its configured step time,
 * or else from the median of its kind of accelerator, or else from the median of all.
 */
export class StepTimeEstimator {
    private readonly endpoints = new Map<string, StepTimes>();
    /** By kind; the empty name stands for all endpoints. */
    private readonly medians = new Map<string, StepTimeEstimate>();
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
            this.endpoints.set(endpoint, StepTimes.create(accelerator, decodeMilliseconds));
            this.observationsUntilMedians = 0;
        }
    }

    /** Forgets an endpoint. */
    removeEndpoint(endpoint: string): void {
        this.endpoints.delete(endpoint);
    }

    /**
     * Learns from one pass; more than one position is a prompt.
     * @param endpoint - Name of the endpoint.
     * @param pass - Layers and positions that ran, and the passes that waited when it was answered.
     * @param milliseconds - Time at the endpoint, without the link.
     */
    observe(
        endpoint: string,
        pass: { layers: number; positions: number; queue: number; },
        milliseconds: number,
    ): void {
        const times = this.endpoints.get(endpoint);
        if (times === undefined || pass.layers < 1 || pass.positions < 1) {
            return;
        }
        this.observationsUntilMedians--;
        if (pass.positions === 1) {
            times.observeDecode(pass.layers, milliseconds, pass.queue);
        }
        else {
            times.observePrefill(pass.layers, pass.positions, milliseconds);
        }
    }

    /** Gets the estimate for an endpoint. */
    getEstimate(endpoint: string): StepTimeEstimate {
        if (this.observationsUntilMedians <= 0) {
            this.computeMedians();
        }
        const times = this.endpoints.get(endpoint);
        const median = this.medians.get(times?.accelerator ?? "") ?? this.medians.get("") ?? createEstimate([]);
        return times?.getEstimate(median) ?? median;
    }

    private computeMedians(): void {
        this.observationsUntilMedians = observationsBetweenMedians;
        this.medians.clear();
        const groups = new Map<string, StepTimes[]>();
        for (const times of this.endpoints.values()) {
            for (const name of new Set(["", times.accelerator])) {
                const group = groups.get(name) ?? [];
                group.push(times);
                groups.set(name, group);
            }
        }
        for (const [accelerator, group] of groups) {
            if (accelerator === "" || group.some(times => times.decodeMilliseconds !== undefined)) {
                this.medians.set(accelerator, createEstimate(group));
            }
        }
    }
}

/** Makes an estimate out of the medians of a group. */
function createEstimate(group: readonly StepTimes[]): StepTimeEstimate {
    const decodeMilliseconds = getMedian(group.map(times => times.decodeMilliseconds)) ?? defaultDecodeMilliseconds;
    const prefillMilliseconds = getMedian(group.map(times => times.prefillMilliseconds))
        ?? decodeMilliseconds * prefillPartOfDecode;
    const waitMilliseconds = decodeMilliseconds * waitInLayers;
    return { decodeMilliseconds, prefillMilliseconds, waitMilliseconds, uncertainty: initialUncertainty };
}

/** Gets the middle of the known values; undefined where none is known. */
function getMedian(values: readonly (number | undefined)[]): number | undefined {
    const known = values.filter(value => value !== undefined).sort((a, b) => a - b);
    return known[Math.floor(known.length / 2)];
}
