import type { RequestHold } from "../quarantine/requestHold.ts";
import { RefusalReason } from "./refusalReason.ts";
import type { RelayRefusal } from "./relayRefusal.ts";

/** Endpoints and peers report their state a few times a second: an earlier retry would see the same state. */
const defaultRetryAfterMilliseconds = 300;

/** Creates the refusals of requests that got no answer from an endpoint. */
export const createRefusal = {
    /** No endpoint has run the request. */
    notRun: (cause: string, retryAfterMilliseconds: number = defaultRetryAfterMilliseconds): RelayRefusal => ({
        reason: RefusalReason.NotRun,
        message: `The request was not run: ${cause} Send it again after the given time.`,
        retryAfterMilliseconds,
    }),
    /** No endpoint has run the request, and this node ends. Others may have room now. */
    stopping: (cause: string): RelayRefusal => createRefusal.notRun(cause, 0),
    /** The request is quarantined for some time, since endpoints crashed while they ran it. */
    heldBack: ({ endpointIds, remainingMilliseconds, parts }: RequestHold): RelayRefusal => ({
        reason: RefusalReason.HeldBack,
        message: `The request was not run: ${endpointIds.length} endpoints failed while they ran `
            + (parts === undefined ? "the same request before." : "requests with a part of its prompt before.")
            + " Change it, or send it again after the given time.",
        retryAfterMilliseconds: remainingMilliseconds,
    }),
    /** An endpoint may have run the request. */
    outcomeUnknown: (cause: string): RelayRefusal => ({
        reason: RefusalReason.OutcomeUnknown,
        message: `The request may have run: ${cause} Check its effect before you send it again.`,
    }),
    /** The route's time limit has passed. */
    timedOut: (): RelayRefusal => ({
        reason: RefusalReason.TimedOut,
        message: "The request timed out and may have run. Check its effect before you send it again.",
    }),
};
