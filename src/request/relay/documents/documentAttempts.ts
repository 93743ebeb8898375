import type { CompleteAnswer } from "../answers/completeAnswer.ts";
import { maximumRefusals } from "../answers/maximumRefusals.ts";
import type { RegisteredEndpoint } from "../endpoints/registeredEndpoint.ts";
import type { PossibleRuns } from "../possibleRuns.ts";
import type { DocumentAttempt } from "./documentAttempt.ts";
import type { DocumentAttemptEnd } from "./documentAttemptEnd.ts";

/** The attempts to run a document request: those in progress, their number, and what the ended ones tell of the request. */
export class DocumentAttempts {
    private readonly runs: PossibleRuns;
    private readonly maximumAttempts: number;
    private readonly running = new Set<DocumentAttempt>();
    private count = 0;
    private refusals = 0;
    private firstSentAt: number | undefined;
    private lastEndpoint: RegisteredEndpoint | undefined;
    private hasPossibleRun = false;
    private failureAnswer: CompleteAnswer | undefined;

    private constructor(runs: PossibleRuns, maximumAttempts: number) {
        this.runs = runs;
        this.maximumAttempts = maximumAttempts;
    }

    /**
     * Creates the record of a request that was not sent yet.
     * @param runs - The request's runs, to which its attempts are added.
     * @param maximumAttempts - Maximum number of attempts by the request's route.
     */
    static create(runs: PossibleRuns, maximumAttempts: number): DocumentAttempts {
        return new DocumentAttempts(runs, maximumAttempts);
    }

    /**
     * Gets the only endpoints that may receive the request again; undefined if others may receive it too. Endpoints that surely have not
     * run it don't count towards the route's maximum, but no endpoint may receive it after a number of refusals.
     */
    getOnlyAllowedIds(): ReadonlySet<string> | undefined {
        return this.refusals > maximumRefusals && this.refusals >= this.maximumAttempts
            ? new Set()
            : this.runs.getOnlyAllowedIds();
    }

    /** Checks if the request has no outcome, although an endpoint may have run it, and may be run once more. */
    isAnotherRunAllowed(): boolean {
        const hasNoOutcome = this.hasPossibleRun && this.failureAnswer === undefined;
        return hasNoOutcome && !this.areRunning() && this.runs.isAnotherRunAllowed();
    }

    /** Allows as many refusals as for a new request. */
    resetRefusals(): void {
        this.refusals = 0;
    }

    /** Checks if the number of attempts allows a hedge. */
    isHedgeAllowed(): boolean {
        return this.count > 0 && this.count < this.maximumAttempts;
    }

    /** Adds an attempt that begins. */
    add(attempt: DocumentAttempt): void {
        this.count += 1;
        this.lastEndpoint = attempt.endpoint;
        this.running.add(attempt);
        this.runs.add(attempt.run);
    }

    /** Counts a refusal by an endpoint. */
    noteRefusal(): void {
        this.refusals += 1;
    }

    /** Ends an attempt without an answer that can be forwarded. */
    end(attempt: DocumentAttempt, { isNotRun, answer }: DocumentAttemptEnd): void {
        this.release(attempt);
        if (isNotRun) {
            this.runs.remove(attempt.run);
        }
        this.hasPossibleRun ||= !isNotRun;
        this.failureAnswer = answer ?? this.failureAnswer;
    }

    /** Aborts the attempts in progress. */
    abortAll(): void {
        for (const attempt of [...this.running]) {
            attempt.exchange?.abort();
            this.release(attempt);
        }
    }

    /** Gets the attempts in progress. The set changes as attempts begin and end. */
    getRunning(): ReadonlySet<DocumentAttempt> {
        return this.running;
    }

    /** Checks if an attempt is in progress. */
    isRunning(attempt: DocumentAttempt): boolean {
        return this.running.has(attempt);
    }

    /** Checks if any attempt is in progress. */
    areRunning(): boolean {
        return this.running.size > 0;
    }

    /** Checks if an ended attempt may have run the request. */
    mayHaveRun(): boolean {
        return this.hasPossibleRun;
    }

    /** Gets the number of attempts so far. */
    getCount(): number {
        return this.count;
    }

    /** Gets the endpoint of the last attempt. */
    getLastEndpoint(): RegisteredEndpoint | undefined {
        return this.lastEndpoint;
    }

    /** Gets the monotonic time in milliseconds at which the first byte was sent to an endpoint; undefined while no such attempt has ended. */
    getFirstSentTime(): number | undefined {
        return this.firstSentAt;
    }

    /** Gets the last error response of an endpoint. */
    getFailureAnswer(): CompleteAnswer | undefined {
        return this.failureAnswer;
    }

    private release(attempt: DocumentAttempt): void {
        this.firstSentAt ??= attempt.exchange?.getSentTime();
        attempt.reservation.release();
        this.running.delete(attempt);
    }
}
