import type { NotRunPermit } from "./notRunPermit.ts";
import { Outcome } from "./outcome.ts";

/** Fields of a not-run answer. */
interface NotRunFields {
    status: number;
    code: string;
    message: string;
    retryAfterMilliseconds: number;
}

/** All fields of a {@link RequestError}. */
interface RequestErrorFields {
    outcome: Exclude<Outcome, "finished">;
    status: number;
    code: string;
    message: string;
    retryAfterMilliseconds: number | undefined;
}

/** A final answer that is not the answer the caller asked for. Built only by the functions of this class. */
export class RequestError {
    readonly outcome: Exclude<Outcome, "finished">;
    readonly status: number;
    /** Machine-readable kind, in the error body's `code`. */
    readonly code: string;
    readonly message: string;
    /** When to come back, in milliseconds. */
    readonly retryAfterMilliseconds: number | undefined;

    private constructor(fields: RequestErrorFields) {
        this.outcome = fields.outcome;
        this.status = fields.status;
        this.code = fields.code;
        this.message = fields.message;
        this.retryAfterMilliseconds = fields.retryAfterMilliseconds;
    }

    /**
     * The request was not run; the caller may ask again.
     * @param permit - Shows that nothing can have run; it is used up.
     * @param fields - Status, code, message and when to come back.
     */
    static notRun(permit: NotRunPermit, fields: NotRunFields): RequestError {
        permit.use();
        return new RequestError({ outcome: Outcome.NotRun, ...fields });
    }

    /** The request itself is wrong. */
    static invalid(status: number, code: string, message: string): RequestError {
        return new RequestError({ outcome: Outcome.Invalid, status, code, message, retryAfterMilliseconds: undefined });
    }

    /** The claim of the key could not be made: this sending did not run, an earlier one with the same key may have. */
    static undecided(message: string, retryAfterMilliseconds: number): RequestError {
        return new RequestError({
            outcome: Outcome.Undecided,
            status: 503,
            code: "claim_undecided",
            message,
            retryAfterMilliseconds,
        });
    }

    /** The request was started and it is not known whether it took effect. */
    static outcomeUnknown(message: string): RequestError {
        return RequestError.create(Outcome.OutcomeUnknown, 502, "outcome_unknown", message);
    }

    /** A request with the same key is running; its answer can be had later. */
    static running(retryAfterMilliseconds: number): RequestError {
        return new RequestError({
            outcome: Outcome.Running,
            status: 409,
            code: "request_running",
            message: "A request with this key is running. Ask again later for its answer.",
            retryAfterMilliseconds,
        });
    }

    /** The request was started and failed. */
    static failed(message: string): RequestError {
        return RequestError.create(Outcome.Failed, 502, "failed", message);
    }

    /** The caller went away before its answer was whole. */
    static cancelled(): RequestError {
        return RequestError.create(Outcome.Cancelled, 499, "cancelled", "The caller closed the connection.");
    }

    private static create(
        outcome: Exclude<Outcome, "finished">,
        status: number,
        code: string,
        message: string,
    ): RequestError {
        return new RequestError({ outcome, status, code, message, retryAfterMilliseconds: undefined });
    }
}
