import { maximumRefusals } from "./answers/maximumRefusals.ts";
import type { PossibleRuns } from "./possibleRuns.ts";

/** Maximum number of attempts of a request, even if all first stages that ran it have ended. */
const hardAttemptLimit = 6;

/** Limits the attempts of a stream: by the endpoints that its route allows, and by their number. */
export class AttemptLimit {
    private readonly runs: PossibleRuns;
    private attemptCount = 0;
    private refusalCount = 0;

    private constructor(runs: PossibleRuns) {
        this.runs = runs;
    }

    /**
     * Creates the limit for a request that was not sent yet.
     * @param runs - The request's runs.
     */
    static create(runs: PossibleRuns): AttemptLimit {
        return new AttemptLimit(runs);
    }

    /** Gets the number of attempts. */
    getAttemptCount(): number {
        return this.attemptCount;
    }

    /** Counts an attempt. */
    noteAttempt(): void {
        this.attemptCount += 1;
    }

    /** Counts a refusal by an endpoint that did not run the request. */
    noteRefusal(): void {
        this.refusalCount += 1;
    }

    /** Checks if the request may be sent to another first stage. */
    mayAttemptAgain(): boolean {
        return this.attemptCount < hardAttemptLimit
            && this.refusalCount <= maximumRefusals
            && this.runs.isAnotherAllowed();
    }
}
