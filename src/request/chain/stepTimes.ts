import type { StepTimeEstimate } from "./stepTimeEstimate.ts";

/** Weight of a decode time below the present estimate: steps without waiting are soon believed. */
const fasterWeight = 0.1;
/** Weight of a decode time above the present estimate: most of them contain waiting. */
const slowerWeight = 0.001;
/** Weight of a new value in the averages of waiting and of prompt passes. */
const averageWeight = 0.03;
/** Least average number of waiting passes from which the wait for one can be told. */
const leastQueue = 0.2;

/** What was learnt of one endpoint's step times. */
export class StepTimes {
    readonly accelerator: string;
    /** Milliseconds of a decode step for one layer; undefined where neither configured nor observed. */
    decodeMilliseconds: number | undefined;
    /** Milliseconds of one prompt position through one layer; undefined where not observed. */
    prefillMilliseconds: number | undefined;
    /** Number of decode passes seen. */
    observations = 0;
    /** Average wait of decode passes, in milliseconds. */
    private wait = 0;
    /** Average number of passes that waited. */
    private queue = 0;

    private constructor(accelerator: string, decodeMilliseconds: number | undefined) {
        this.accelerator = accelerator;
        this.decodeMilliseconds = decodeMilliseconds;
    }

    /**
     * Creates the step times of an endpoint that was not observed yet.
     * @param accelerator - Kind of accelerator; empty where unknown.
     * @param decodeMilliseconds - Configured time of one layer, in milliseconds.
     */
    static create(accelerator: string, decodeMilliseconds: number | undefined): StepTimes {
        return new StepTimes(accelerator, decodeMilliseconds);
    }

    /** Learns from a decode pass; `milliseconds` is its time at the endpoint. */
    observeDecode(layers: number, milliseconds: number, queue: number): void {
        const time = milliseconds / layers;
        const present = this.decodeMilliseconds ?? time;
        const decode = present + (time - present) * (time < present ? fasterWeight : slowerWeight);
        this.decodeMilliseconds = decode;
        this.observations++;
        this.wait += (Math.max(0, milliseconds - decode * layers) - this.wait) * averageWeight;
        this.queue += (queue - this.queue) * averageWeight;
    }

    /** Learns from a prompt pass; `milliseconds` is its time at the endpoint. */
    observePrefill(layers: number, positions: number, milliseconds: number): void {
        const time = milliseconds / (layers * positions);
        const present = this.prefillMilliseconds ?? time;
        this.prefillMilliseconds = present + (time - present) * averageWeight;
    }

    /**
     * Gets the estimate.
     * @param fallback - Median of the endpoint's kind, for what was not learnt.
     */
    getEstimate(fallback: Readonly<StepTimeEstimate>): StepTimeEstimate {
        const decodeMilliseconds = this.decodeMilliseconds ?? fallback.decodeMilliseconds;
        return {
            decodeMilliseconds,
            prefillMilliseconds: this.prefillMilliseconds ?? fallback.prefillMilliseconds,
            waitMilliseconds: this.queue < leastQueue ? fallback.waitMilliseconds : this.wait / this.queue,
            uncertainty: fallback.uncertainty / (1 + this.observations),
        };
    }
}
