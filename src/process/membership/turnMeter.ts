import type { Clock, TimerHandle } from "../clock.ts";

/** A running measurement. */
interface Measurement {
    /** Gets the time that went into long turns since its start, in milliseconds. */
    getLongMilliseconds(): number;
    /** Gets the number of turns since its start, of which very short ones count as one. */
    getTurnCount(): number;
    /** Ends it, so that no timers are set for it. */
    end(): void;
}

/** The timers are shorter than a long turn by this factor, so that a timer which waits for a short turn doesn't count as long. */
const timersPerTurn = 5;

/**
 * Measures the time that this process spends in long turns of its event loop, as it does while it is starved of processor time.
 *
 * An exchange with a peer takes several turns. The lateness of a timer does not show how few there were: a timer that is as long
 * as a turn is on time. So the process sets short timers, but only while a measurement is running.
 */
export class TurnMeter {
    private readonly clock: Clock;
    private readonly maximumTurnMilliseconds: number;
    private runningCount = 0;
    private timer: TimerHandle | undefined;
    private turnStartedAt: number | undefined;
    /** Time that all long turns together took, in milliseconds. */
    private longMilliseconds = 0;
    private turnCount = 0;

    private constructor(clock: Clock, maximumTurnMilliseconds: number) {
        this.clock = clock;
        this.maximumTurnMilliseconds = maximumTurnMilliseconds;
    }

    /**
     * Creates a meter that sets no timers before its first measurement.
     * @param clock - Clock of the process.
     * @param maximumTurnMilliseconds - A turn that takes longer is a long one.
     */
    static create(clock: Clock, maximumTurnMilliseconds: number): TurnMeter {
        return new TurnMeter(clock, maximumTurnMilliseconds);
    }

    /** Starts a measurement. It must be ended. */
    start(): Measurement {
        this.runningCount++;
        if (this.runningCount === 1) {
            this.startTurn();
        }
        const before = this.getLongMilliseconds();
        const turnsBefore = this.turnCount;
        return {
            getLongMilliseconds: () => this.getLongMilliseconds() - before,
            getTurnCount: () => this.turnCount - turnsBefore,
            end: () => this.end(),
        };
    }

    /** Gets the time that went into long turns during all measurements, in milliseconds. */
    getLongMilliseconds(): number {
        return this.longMilliseconds + this.getCurrentLongMilliseconds();
    }

    private end(): void {
        this.runningCount--;
        if (this.runningCount === 0) {
            this.longMilliseconds = this.getLongMilliseconds();
            this.turnStartedAt = undefined;
            this.timer?.cancel();
        }
    }

    private startTurn(): void {
        this.turnStartedAt = this.clock.getMonotonicTime();
        this.timer = this.clock.setTimer(this.maximumTurnMilliseconds / timersPerTurn, () => {
            this.longMilliseconds = this.getLongMilliseconds();
            this.turnCount++;
            this.startTurn();
        });
    }

    private getCurrentLongMilliseconds(): number {
        const now = this.clock.getMonotonicTime();
        const milliseconds = now - (this.turnStartedAt ?? now);
        return milliseconds > this.maximumTurnMilliseconds ? milliseconds : 0;
    }
}
