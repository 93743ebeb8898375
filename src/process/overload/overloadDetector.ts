import { leaveRotationLagMilliseconds } from "./leaveRotationLagMilliseconds.ts";
import { OverloadStep } from "./overloadStep.ts";

/** A step and when it is taken. */
interface StepThreshold {
    step: OverloadStep;
    /** Lag of the event loop from which the step is due. */
    lagMilliseconds: number;
}

/**
 * The lags follow from what callers need: the event loop counts as late from 100 ms, and a first event is late after an objective of
 * 500 ms. See also {@link leaveRotationLagMilliseconds}.
 */
const thresholds: readonly StepThreshold[] = [
    { step: OverloadStep.ReduceBackground, lagMilliseconds: 100 },
    { step: OverloadStep.RefuseLowestRank, lagMilliseconds: 500 },
    { step: OverloadStep.LeaveRotation, lagMilliseconds: leaveRotationLagMilliseconds },
];
/** Time for which a step is due before it is taken. A single long task or garbage collection ends within it. */
const riseMilliseconds = 500;
/** A step ends when the lag is below this fraction of its threshold for {@link fallMilliseconds}. */
const fallFraction = 0.5;
/** Longer than {@link riseMilliseconds}, so that a node whose load is at a threshold doesn't change back and forth. */
const fallMilliseconds = 2_000;

/**
 * Decides from the lag of the event loop which steps a node takes to protect itself. Steps are taken and ended one at a time, in
 * order.
 *
 * Load: a node with a tenth of a core gets several times the requests that it can handle.
 */
export class OverloadDetector {
    /** Number of steps taken. */
    private count = 0;
    /** Time since which the next step is due; undefined if it isn't. */
    private dueSince: number | undefined;
    /** Time since which the last step is no longer needed; undefined if it is. */
    private unneededSince: number | undefined;

    private constructor() {}

    /** Creates a detector for a node that is on time. */
    static create(): OverloadDetector {
        return new OverloadDetector();
    }

    /**
     * Updates the steps.
     * @param lag - Recent lag of the event loop in milliseconds.
     * @param now - Monotonic time in milliseconds.
     * @returns Whether a step was taken or ended.
     */
    update(lag: number, now: number): boolean {
        const next = thresholds[this.count];
        const last = thresholds[this.count - 1];
        this.dueSince = next !== undefined && lag >= next.lagMilliseconds ? this.dueSince ?? now : undefined;
        const isUnneeded = last !== undefined && lag < last.lagMilliseconds * fallFraction;
        this.unneededSince = isUnneeded ? this.unneededSince ?? now : undefined;
        if (this.dueSince !== undefined && now - this.dueSince >= riseMilliseconds) {
            this.setCount(this.count + 1, now);
            return true;
        }
        if (this.unneededSince !== undefined && now - this.unneededSince >= fallMilliseconds) {
            this.setCount(this.count - 1, now);
            return true;
        }
        return false;
    }

    /** Checks if a step is taken. */
    has(step: OverloadStep): boolean {
        return thresholds.findIndex(threshold => threshold.step === step) < this.count;
    }

    /**
     * Gets the time until a step ends if the node is on time from now on, in milliseconds; 0 if the step isn't taken.
     * @param step - The step.
     * @param lag - Lag of the event loop in milliseconds.
     */
    getRecoveryMilliseconds(step: OverloadStep, lag: number): number {
        const stepsToEnd = this.count - thresholds.findIndex(threshold => threshold.step === step);
        return stepsToEnd > 0 ? lag + stepsToEnd * fallMilliseconds : 0;
    }

    /** Gets the last step taken; undefined if the node is on time. */
    getLastStep(): OverloadStep | undefined {
        return thresholds[this.count - 1]?.step;
    }

    private setCount(count: number, now: number): void {
        this.count = count;
        // The next change needs its own full time.
        this.dueSince = this.dueSince === undefined ? undefined : now;
        this.unneededSince = this.unneededSince === undefined ? undefined : now;
    }
}
