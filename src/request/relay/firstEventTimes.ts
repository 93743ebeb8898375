/** Weight of the newest first event in the averages: about the last twenty count. */
const newestWeight = 0.05;
/** Before any was seen, in milliseconds: the reading of a usual prompt on a fast chain. */
const initialMilliseconds = 100;
/** So many mean deviations above the mean: nine in ten first events come before. */
const deviations = 2;

/** How long chains take until the first event, as they were seen to lately. */
export class FirstEventTimes {
    private mean = initialMilliseconds;
    private deviation = 0;

    private constructor() {}

    /** Creates a record that has seen no events. */
    static create(): FirstEventTimes {
        return new FirstEventTimes();
    }

    /** Notes the time from a sending to its first event, in milliseconds. */
    note(milliseconds: number): void {
        this.deviation += newestWeight * (Math.abs(milliseconds - this.mean) - this.deviation);
        this.mean += newestWeight * (milliseconds - this.mean);
    }

    /** Gets the time after which nine in ten first events have come, in milliseconds. */
    getExpected(): number {
        return this.mean + deviations * this.deviation;
    }
}
