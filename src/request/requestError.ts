import type { NotRunPermit } from "./notRunPermit.ts";
import { Outcome } from "./outcome.ts";

/** Fields of a "not run" answer. */
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

/** A final answer that reports an error. Its static functions set the outcome, the status and the code consistently. */
export class RequestError {
    readonly outcome: Exclude<Outcome, "finished">;
    readonly status: number;
    /** Machine-readable kind, sent as `code` in the error body. */
    readonly code: string;
    readonly message: string;
    /** Time after which the caller should retry. */
    readonly retryAfterMilliseconds: number | undefined;

    private constructor(fields: RequestErrorFields) {
        this.outcome = fields.outcome;
        this.status = fields.status;
        this.code = fields.code;
        this.message = fields.message;
        this.retryAfterMilliseconds = fields.retryAfterMilliseconds;
    }

    /**
     * Creates the error of a request that did not run, so the caller may retry.
     * @param permit - Permit of the request.
     * @param fields - Status, code, message and retry delay.
     * @throws InvariantError if the request may have run.
     */
    static notRun(permit: NotRunPermit, fields: NotRunFields): RequestError {
        permit.assertAvailable();
        return new RequestError({ outcome: Outcome.NotRun, ...fields });
    }

    /** Creates the error of an invalid request. */
    static invalid(status: number, code: string, message: string): RequestError {
        return new RequestError({ outcome: Outcome.Invalid, status, code, message, retryAfterMilliseconds: undefined });
    }

    /** Creates the error of a failed claim: this attempt did not run, but an earlier one with the same key may have. */
    static undecided(message: string, retryAfterMilliseconds: number): RequestError {
        return new RequestError({
            outcome: Outcome.Undecided,
            status: 503,
            code: "claim_undecided",
            message,
            retryAfterMilliseconds,
        });
    }

    /** Creates the error of a request that was started, where it is unknown whether it took effect. */
    static outcomeUnknown(message: string): RequestError {
        return RequestError.create(Outcome.OutcomeUnknown, 502, "outcome_unknown", message);
    }

    /** Creates the error of a request whose key belongs to a running request; a later retry gets the answer. */
    static running(retryAfterMilliseconds: number): RequestError {
        return new RequestError({
            outcome: Outcome.Running,
            status: 409,
            code: "request_running",
            message: "A request with this key is running. Send it again later to get its answer.",
            retryAfterMilliseconds,
        });
    }

    /** Creates the error of a request that was started and failed. */
    static failed(message: string): RequestError {
        return RequestError.create(Outcome.Failed, 502, "failed", message);
    }

    /** Creates the error of a request whose caller disconnected before the answer was complete. */
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
