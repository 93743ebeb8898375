/** Weight of the newest first event in the moving averages, which cover about the last twenty. */
const newestWeight = 0.05;
/** Mean before the first measurement: the prefill of a usual prompt on a fast chain. */
const initialMeanMilliseconds = 100;
/** Mean deviations above the mean, within which about nine in ten first events arrive. */
const deviationFactor = 2;

/** Tracks the recent time to the first event of chains. */
export class FirstEventTimes {
    private mean = initialMeanMilliseconds;
    private deviation = 0;

    private constructor() {}

    /** Creates an instance without measurements. */
    static create(): FirstEventTimes {
        return new FirstEventTimes();
    }

    /** Records the time from sending a request to its first event, in milliseconds. */
    record(milliseconds: number): void {
        this.deviation += newestWeight * (Math.abs(milliseconds - this.mean) - this.deviation);
        this.mean += newestWeight * (milliseconds - this.mean);
    }

    /** Gets the time within which about nine in ten first events arrive, in milliseconds. */
    getExpected(): number {
        return this.mean + deviationFactor * this.deviation;
    }
}
