/** What was seen of one stage of an attempt; times in milliseconds. */
interface StagePace {
    /** Smoothed time of the passes that were not slow. */
    usualMilliseconds: number;
    passes: number;
    lastMilliseconds: number;
    /** Time beyond the usual that the slow passes have taken, since the last one that was not slow. */
    excessMilliseconds: number;
}

const smoothingFactor = 0.1;
/** A pass is slow that takes this many times the stage's usual time. */
const slowFactor = 4;
/** A stage is slow by itself where it has slowed down this many times more than each other stage. */
const othersFactor = 2;
/** Passes of a stage before its usual time is trusted. */
const minimumPasses = 8;
/** Excess below which no stage is left, in milliseconds: rebuilds of other streams disturb a stage for about so long. */
const minimumExcessMilliseconds = 750;
/** Excess at which a stage is left, against the time that the attempt's own first passes took. */
const rebuildFactor = 2;

/**
 * Tells when a stage has become so slow that rebuilding the context without it takes less time than staying, from the
 * times of one attempt's own passes. It goes by the excess that was already suffered, as in the ski-rental problem (Karlin
 * and others, "Competitive snoopy caching", 1988), so that it loses at most a constant factor against knowing the future.
 */
export class SlowStageDetector {
    private readonly paces: readonly StagePace[];
    private rebuildMilliseconds = 0;

    private constructor(stages: number) {
        this.paces = Array.from({ length: stages }, () => ({
            usualMilliseconds: 0,
            passes: 0,
            lastMilliseconds: 0,
            excessMilliseconds: 0,
        }));
    }

    /** @param stages - Stages of the attempt's chain. */
    static create(stages: number): SlowStageDetector {
        return new SlowStageDetector(stages);
    }

    /**
     * Takes the time of a pass.
     * @param stage - Index of the stage.
     * @param positions - Positions of the pass; more than one is the prompt or a rebuilt context.
     * @param milliseconds - From handing the pass over to its result.
     */
    observePass(stage: number, positions: number, milliseconds: number): void {
        if (positions > 1) {
            this.rebuildMilliseconds += milliseconds;
            return;
        }
        const pace = this.paces[stage]!;
        pace.lastMilliseconds = milliseconds;
        if (pace.passes >= minimumPasses && milliseconds > slowFactor * pace.usualMilliseconds) {
            pace.excessMilliseconds += milliseconds - pace.usualMilliseconds;
            return;
        }
        pace.excessMilliseconds = 0;
        pace.passes += 1;
        const weight = Math.max(smoothingFactor, 1 / pace.passes);
        pace.usualMilliseconds += weight * (milliseconds - pace.usualMilliseconds);
    }

    /** Gets the index of a stage that is worth leaving now. */
    findSlowStage(): number | undefined {
        const limit = Math.max(minimumExcessMilliseconds, rebuildFactor * this.rebuildMilliseconds);
        for (const [stage, pace] of this.paces.entries()) {
            if (pace.excessMilliseconds > limit && this.isSlowByItself(stage)) {
                return stage;
            }
        }
        return undefined;
    }

    private isSlowByItself(stage: number): boolean {
        const slowdown = getSlowdown(this.paces[stage]!);
        return this.paces.every((other, index) => index === stage || slowdown > othersFactor * getSlowdown(other));
    }
}

function getSlowdown(pace: StagePace): number {
    return pace.passes === 0 ? 1 : pace.lastMilliseconds / pace.usualMilliseconds;
}
