import { maximumRefusals } from "./answers/maximumRefusals.ts";

/** Maximum number of attempts of a request, whichever endpoints receive them. */
const maximumAttempts = 6;

/** Limits the number of attempts and refusals of a stream. */
export class AttemptLimit {
    private attemptCount = 0;
    private refusalCount = 0;
    private notRunCount = 0;

    private constructor() {}

    /** Creates the limit for a request that was not sent yet. */
    static create(): AttemptLimit {
        return new AttemptLimit();
    }

    /** Gets the number of attempts. */
    getAttemptCount(): number {
        return this.attemptCount;
    }

    /** Gets the number of refusals by endpoints that did not run the request. */
    getRefusalCount(): number {
        return this.refusalCount;
    }

    /** Counts an attempt. */
    noteAttempt(): void {
        this.attemptCount += 1;
    }

    /** Counts a refusal by an endpoint that did not run the request. */
    noteRefusal(): void {
        this.refusalCount += 1;
    }

    /** Counts an attempt of which it is certain that no endpoint has run it. */
    noteNotRun(): void {
        this.notRunCount += 1;
    }

    /** Checks if a request that was begun may be run again. Attempts that were not run don't end what was begun. */
    mayRunAgain(): boolean {
        return this.attemptCount - this.notRunCount < maximumAttempts;
    }

    /** Checks if a request that was not begun may be sent again. */
    mayAttemptAgain(): boolean {
        return this.attemptCount < maximumAttempts && this.refusalCount <= maximumRefusals;
    }
}
