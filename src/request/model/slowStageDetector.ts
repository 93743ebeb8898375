/** Timing of one stage of an attempt. */
interface StageTiming {
    /** Moving average of the times of passes that were not slow. */
    baselineMilliseconds: number;
    /** Number of passes that were not slow. */
    baselinePasses: number;
    lastMilliseconds: number;
    /** Total time above the baseline of the slow passes since the last pass that was not slow. */
    excessMilliseconds: number;
}

/** Weight of a new time in the baseline, after the first passes. */
const smoothingFactor = 0.1;
/** A pass is slow if it takes more than this multiple of the stage's baseline. */
const slowFactor = 4;
/** A stage is slower than the others if its slowdown is more than this multiple of each other stage's slowdown. */
const otherStagesFactor = 2;
/** Minimum number of passes before a stage's baseline is used. */
const minimumBaselinePasses = 8;
/** Minimum excess for leaving a stage. Rebuilds of other streams slow down a stage for about this time. */
const minimumExcessMilliseconds = 750;
/** Excess for leaving a stage, as a multiple of the time that the attempt's prompt passes took. */
const rebuildFactor = 2;

/**
 * Detects a stage that became so slow that rebuilding the context without it is faster than staying. Uses the times of
 * one attempt's passes. The decision depends on the excess time so far, as in the ski-rental problem (Karlin et al.,
 * "Competitive snoopy caching", 1988), so the loss is at most a constant factor over the optimal offline decision.
 */
export class SlowStageDetector {
    private readonly timings: readonly StageTiming[];
    /** Total time of the passes that ran the prompt or rebuilt the context. */
    private contextMilliseconds = 0;

    private constructor(stages: number) {
        this.timings = Array.from({ length: stages }, () => ({
            baselineMilliseconds: 0,
            baselinePasses: 0,
            lastMilliseconds: 0,
            excessMilliseconds: 0,
        }));
    }

    /**
     * Creates a detector.
     * @param stages - Number of stages of the attempt's chain.
     */
    static create(stages: number): SlowStageDetector {
        return new SlowStageDetector(stages);
    }

    /**
     * Records the time of a pass.
     * @param stage - Index of the stage.
     * @param positions - Number of positions of the pass. More than one means a prompt or a rebuilt context.
     * @param milliseconds - Time from sending the pass to its result.
     */
    observePass(stage: number, positions: number, milliseconds: number): void {
        if (positions > 1) {
            this.contextMilliseconds += milliseconds;
            return;
        }
        const timing = this.timings[stage]!;
        timing.lastMilliseconds = milliseconds;
        if (timing.baselinePasses >= minimumBaselinePasses && milliseconds > slowFactor * timing.baselineMilliseconds) {
            timing.excessMilliseconds += milliseconds - timing.baselineMilliseconds;
            return;
        }
        timing.excessMilliseconds = 0;
        timing.baselinePasses += 1;
        const weight = Math.max(smoothingFactor, 1 / timing.baselinePasses);
        timing.baselineMilliseconds += weight * (milliseconds - timing.baselineMilliseconds);
    }

    /** Gets the index of a stage that should be left, or undefined if there is none. */
    findSlowStage(): number | undefined {
        const limitMilliseconds = Math.max(minimumExcessMilliseconds, rebuildFactor * this.contextMilliseconds);
        for (const [stage, timing] of this.timings.entries()) {
            if (timing.excessMilliseconds > limitMilliseconds && this.isSlowerThanOthers(stage)) {
                return stage;
            }
        }
        return undefined;
    }

    private isSlowerThanOthers(stage: number): boolean {
        const slowdown = getSlowdown(this.timings[stage]!);
        return this.timings.every((other, index) =>
            index === stage || slowdown > otherStagesFactor * getSlowdown(other)
        );
    }
}

function getSlowdown(timing: StageTiming): number {
    return timing.baselinePasses === 0 ? 1 : timing.lastMilliseconds / timing.baselineMilliseconds;
}
