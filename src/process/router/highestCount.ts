/** A count stands for this long after it was seen last: longer than cuts between nodes and restarts of many last. */
const holdMilliseconds = 30_000;
const stepMilliseconds = 5_000;

/** A count seen in one step of time. */
interface CountOfStep {
    step: number;
    count: number;
}

/**
 * The highest count of the last half minute. What all nodes may do together is shared by their number; a node that is cut
 * from the others must not take their part over, since they live on behind the cut.
 */
export class HighestCount {
    private steps: CountOfStep[];

    private constructor(count: number, now: number) {
        this.steps = [{ step: getStep(now), count }];
    }

    /**
     * Creates a count.
     * @param count - What to assume at first.
     * @param now - Monotonic time in milliseconds.
     */
    static create(count: number, now: number): HighestCount {
        return new HighestCount(count, now);
    }

    /** Notes the present count and gets the highest one. */
    note(count: number, now: number): number {
        const step = getStep(now);
        const latest = this.steps.at(-1);
        if (latest?.step === step) {
            latest.count = Math.max(latest.count, count);
        }
        else {
            this.steps.push({ step, count });
            this.steps = this.steps.filter(kept => kept.step >= step - holdMilliseconds / stepMilliseconds);
        }
        return Math.max(...this.steps.map(kept => kept.count));
    }
}

function getStep(now: number): number {
    return Math.floor(now / stepMilliseconds);
}
