import { createHash } from "node:crypto";
import { createClaimKey } from "../process/claims/createClaimKey.ts";
import { getIssueTime } from "../process/claims/getIssueTime.ts";
import { Err, Ok, type Result } from "../result.ts";
import type { ClaimDecision } from "./claimDecision.ts";
import type { KeptAnswer } from "./keptAnswer.ts";
import type { RequestContext } from "./requestContext.ts";
import type { RequestEnvironment } from "./requestEnvironment.ts";
import { RequestError } from "./requestError.ts";

/** The claim of a request that needs no error answer. */
export type RequestClaim =
    /** The request is idempotent, so no key was claimed. */
    | { kind: "unclaimed"; }
    /** This request may run, and no other with the same key. */
    | { kind: "granted"; key: string; }
    /** An earlier request with the key has finished. */
    | { kind: "answered"; answer: KeptAnswer; };

const runningRetryMilliseconds = 1_000;
const unavailableRetryMilliseconds = 2_000;

/**
 * Claims the idempotency key of a request that must run at most once: the service or the caller requires it, or the key is a
 * UUID version 7.
 * @param environment - Services of the process.
 * @param context - The request.
 * @param isIdempotentService - Whether calls of the service are idempotent.
 * @param content - Method, path and body of the request.
 */
export async function claimRequest(
    environment: RequestEnvironment,
    context: RequestContext,
    isIdempotentService: boolean,
    content: readonly (string | Buffer)[],
): Promise<Result<RequestClaim, RequestError>> {
    const { idempotencyKey } = context;
    const mayBeRepeated = isIdempotentService && !context.isMarkedNonIdempotent;
    if (idempotencyKey === undefined) {
        return mayBeRepeated ? Ok({ kind: "unclaimed" }) : Err(createMissingKeyError());
    }
    const key = createClaimKey(context.customer, idempotencyKey);
    if (getIssueTime(key) === undefined) {
        // Some chat clients send their own kind of key with every request; repeating those requests does no harm.
        return mayBeRepeated ? Ok({ kind: "unclaimed" }) : Err(createMalformedKeyError());
    }
    const startedAt = environment.clock.getMonotonicTime();
    const span = environment.tracing.startSpan("claim", { parent: context.span.context });
    const decision = await environment.claims.claim(key, hashContent(content), context.id, span.context);
    span.setAttributes({ "foxlead.claim": decision.kind });
    span.end();
    const elapsedMilliseconds = environment.clock.getMonotonicTime() - startedAt;
    environment.metrics.claimSeconds.observe(elapsedMilliseconds / 1000);
    environment.metrics.claimsTotal.inc({ outcome: decision.kind });
    return toRequestClaim(context, key, decision);
}

function toRequestClaim(
    context: RequestContext,
    key: string,
    decision: ClaimDecision,
): Result<RequestClaim, RequestError> {
    switch (decision.kind) {
        case "granted":
            return Ok({ kind: "granted", key });
        case "answered":
            return Ok({ kind: "answered", answer: decision.answer });
        case "running":
            return Err(RequestError.running(runningRetryMilliseconds));
        case "unknown":
            return Err(RequestError.outcomeUnknown(
                "An earlier request with this key was started and its answer is lost. It is not run again.",
            ));
        case "bodyMismatch":
            return Err(RequestError.invalid(
                422,
                "key_reused",
                "This idempotency key was used for another request. Use a new key.",
            ));
        case "badKey":
            return Err(RequestError.invalid(400, "bad_idempotency_key", decision.message));
        case "unavailable":
            return Err(createUnavailableError(context, decision.isUnclaimed));
    }
}

function createUnavailableError(context: RequestContext, isUnclaimed: boolean): RequestError {
    if (!isUnclaimed) {
        const message =
            "The claim of the idempotency key could not be checked, so this attempt did not run; an earlier attempt "
            + "with the key may have run. Send it again with the same key.";
        return RequestError.undecided(message, unavailableRetryMilliseconds);
    }
    return RequestError.notRun(context.permit, {
        status: 503,
        code: "claims_unavailable",
        message: "The claim of the idempotency key could not be recorded, so the request did not run. "
            + "Send it again with the same key.",
        retryAfterMilliseconds: unavailableRetryMilliseconds,
    });
}

function createMissingKeyError(): RequestError {
    const message = "The request may run only once. Send an Idempotency-Key header that holds a new UUID version 7.";
    return RequestError.invalid(400, "idempotency_key_missing", message);
}

function createMalformedKeyError(): RequestError {
    const message = "The idempotency key is not a UUID of version 7. Create one for each new request.";
    return RequestError.invalid(400, "bad_idempotency_key", message);
}

function hashContent(content: readonly (string | Buffer)[]): string {
    const hash = createHash("sha256");
    for (const part of content) {
        hash.update(part);
        hash.update("\n");
    }
    return hash.digest("base64url");
}
