/** A call that has ended, and the turns of the event loop that it had. */
interface EndedCall {
    elapsedMilliseconds: number;
    /** Time that went into long turns, in milliseconds. */
    longMilliseconds: number;
    turnCount: number;
    /** Number of times that the peer was called. */
    attemptCount: number;
    /** By how much the time of an attempt was multiplied. */
    factor: number;
    isAnswered: boolean;
    /** Whether its time ended, rather than its connection. */
    isTimedOut: boolean;
}

/** A call says nothing of the peer if more than this share of its time went into longer turns of this process's event loop. */
const maximumLateFraction = 0.25;
/** With at least this many turns in each attempt, it does: a call over a new connection needs about ten. */
const minimumTurns = 15;
/** Turns for which an attempt gets time, as a multiple of those that its usual time has if none of them is long. */
const turnMargin = 2;
/** Largest multiple of the usual time. */
const maximumFactor = 8;

/**
 * Decides how much time calls to peers get, and which of them say something of the peer.
 *
 * It is designed for a process whose turns stay long because it is starved of processor time. Calls that have their usual time then
 * end before their answers are read, so they get the time of as many turns as usual. A single long turn changes nothing.
 */
export class CallAllowance {
    private readonly maximumTurnMilliseconds: number;
    private factor = 1;
    private isInTime = false;

    private constructor(maximumTurnMilliseconds: number) {
        this.maximumTurnMilliseconds = maximumTurnMilliseconds;
    }

    /**
     * Creates an allowance of the usual time.
     * @param maximumTurnMilliseconds - A turn that takes longer is a long one.
     */
    static create(maximumTurnMilliseconds: number): CallAllowance {
        return new CallAllowance(maximumTurnMilliseconds);
    }

    /** Gets by how much the time of a call is multiplied, at least 1. */
    getFactor(): number {
        return this.factor;
    }

    /** Gets how much of the time in long turns the deadlines of suspects are put off, 0 to 1. */
    getPostponedFraction(): number {
        return this.factor > 1 && this.isInTime ? 1 - 1 / this.factor : 1;
    }

    /** Records a call that has ended. Returns whether this process was too late to read an answer. */
    noteEnd(call: EndedCall): boolean {
        const { elapsedMilliseconds, longMilliseconds, turnCount, attemptCount, factor, isAnswered, isTimedOut } = call;
        const hadTurns = factor > 1 && turnCount >= minimumTurns * attemptCount;
        const isLate = longMilliseconds > elapsedMilliseconds * maximumLateFraction && !hadTurns;
        const meanTurnMilliseconds = elapsedMilliseconds / (turnCount + 1);
        const wanted = Math.max(
            1,
            Math.min(maximumFactor, turnMargin * meanTurnMilliseconds / this.maximumTurnMilliseconds),
        );
        if (isAnswered || isTimedOut) {
            this.isInTime = isAnswered || !isLate;
            this.factor = this.isInTime ? Math.min(this.factor, wanted) : Math.max(this.factor, wanted);
        }
        return isLate;
    }
}
