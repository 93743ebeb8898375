import { InvariantError } from "../../process/invariantError.ts";
import type { EventLog } from "../../process/logging/eventLog.ts";
import { events } from "../../process/logging/events.ts";

/** Options of a {@link RequestGuard}. */
interface RequestGuardOptions {
    log: EventLog;
    requestId: string;
    /**
     * Ends the request, and releases what it holds of what all requests share. An error of its own is not caught, since shared state may
     * then be half changed.
     */
    end(cause: string): void;
}

const cause = "an unexpected error occurred.";

/**
 * Limits an unexpected error in a callback of a request, such as one of its timers or of its exchange with an endpoint, to this
 * request. Errors in the decisions that all requests share are not caught: they end the process.
 */
export class RequestGuard {
    private readonly options: RequestGuardOptions;

    private constructor(options: RequestGuardOptions) {
        this.options = options;
    }

    /** Creates the guard of a request. */
    static create(options: RequestGuardOptions): RequestGuard {
        return new RequestGuard(options);
    }

    /** Runs a callback of the request. If it throws, logs the error, ends the request, and returns undefined. */
    run<T>(callback: () => T): T | undefined {
        try {
            return callback();
        }
        catch (error) {
            this.handleError(error);
            return undefined;
        }
    }

    /** Logs an error of a callback and ends the request. */
    handleError(error: unknown): void {
        const { log, requestId: request, end } = this.options;
        const message = error instanceof Error ? error.stack ?? error.message : String(error);
        if (error instanceof InvariantError) {
            log.write(events.invariantViolated, { request, invariant: error.invariant, message });
        }
        else {
            log.write(events.requestCrashed, { request, message });
        }
        end(cause);
    }
}
