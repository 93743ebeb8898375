import type { RequestHold } from "./quarantine/requestHold.ts";
import { RefusalReason } from "./refusalReason.ts";
import type { RelayRefusal } from "./relayRefusal.ts";

/** A retry that comes sooner meets the same state: endpoints and peers report a few times a second. */
const retryMilliseconds = 300;

/** Creates the answers of requests that no endpoint answered. */
export const createRefusal = {
    /** No endpoint has run the request. */
    notRun: (cause: string, retryAfterMilliseconds: number = retryMilliseconds): RelayRefusal => ({
        reason: RefusalReason.NotRun,
        message: `The request was not run: ${cause} Send it again after the time given.`,
        retryAfterMilliseconds,
    }),
    /** Endpoints ended while they ran the same request, so that it isn't run again for some time. */
    heldBack: ({ endpointIds, remainingMilliseconds }: RequestHold): RelayRefusal => ({
        reason: RefusalReason.HeldBack,
        message: `The request was not run: ${endpointIds.length} endpoints ended while they ran the same one before.`
            + " Change it, or send it again after the time given.",
        retryAfterMilliseconds: remainingMilliseconds,
    }),
    /** An endpoint may have run the request. */
    outcomeUnknown: (cause: string): RelayRefusal => ({
        reason: RefusalReason.OutcomeUnknown,
        message: `The request may have run: ${cause} Check its effect before you send it again.`,
    }),
    /** The time is over. */
    timedOut: (): RelayRefusal => ({
        reason: RefusalReason.TimedOut,
        message:
            "The answer did not come within the route's time. Check the request's effect before you send it again.",
    }),
};
