import type { DocumentAnswer } from "../../connection/document/documentAnswer.ts";
import type { DocumentCall } from "../../connection/document/documentCall.ts";
import type { DocumentFailure } from "../../connection/document/documentFailure.ts";
import { formatTraceparent } from "../../process/tracing/formatTraceparent.ts";
import { Err, Ok, type Result } from "../../result.ts";
import type { DocumentServiceConfiguration } from "../../version/configuration.ts";
import { getPauseRetryDelay } from "../getPauseRetryDelay.ts";
import type { RequestContext } from "../requestContext.ts";
import type { RequestEnvironment } from "../requestEnvironment.ts";
import { RequestError } from "../requestError.ts";

/** A call that no endpoint has answered. */
interface FailedCall {
    /** Whether an endpoint may have run it. */
    mayHaveRun: boolean;
    /** Number of endpoints that it was sent to. */
    attempts: number;
    message: string;
    /** Time until an endpoint that has asked for a pause accepts calls again; undefined if none has. */
    retryAfterMilliseconds: number | undefined;
}

const maximumAttempts = 3;
const refusalRetryAfterMilliseconds = 1_000;
const noEndpointRetryAfterMilliseconds = 2_000;

/**
 * Sends a document call to one of the service's endpoints. A call that did not run fails over to another endpoint. A
 * call that may have run is retried only if it is idempotent. The retry budget limits all retries.
 * @param environment - Shared services of the process.
 * @param context - Context of the request.
 * @param service - Configuration of the service.
 * @param call - Call to send.
 */
export async function runDocumentCall(
    environment: RequestEnvironment,
    context: RequestContext,
    service: DocumentServiceConfiguration,
    call: DocumentCall,
): Promise<Result<DocumentAnswer, RequestError>> {
    const { retryBudget, clock, metrics } = environment;
    const tried = new Set<string>();
    let mayHaveRun = false;
    let refusal: DocumentAnswer | undefined;
    let lastMessage = "No endpoint of the service accepts new work at the moment.";
    retryBudget.observeRequest();
    while (tried.size < maximumAttempts) {
        const endpoint = chooseEndpoint(environment, service, tried);
        if (endpoint === undefined) {
            break;
        }
        if (tried.size > 0) {
            const isAllowed = retryBudget.takeRetry(clock.getMonotonicTime());
            metrics.retriesTotal.inc({ outcome: isAllowed ? "sent" : "overBudget" });
            if (!isAllowed) {
                break;
            }
        }
        tried.add(endpoint);
        const answer = await sendCall(environment, context, service, call, endpoint);
        if (answer.ok && !(call.isIdempotent && answer.val.pauseMilliseconds !== undefined)) {
            return answer;
        }
        if (answer.ok) {
            refusal = answer.val;
            continue;
        }
        observeFailure(environment, answer.val);
        lastMessage = answer.val.message;
        mayHaveRun ||= answer.val.kind === "unknown";
        if (context.stopSignal.aborted && call.isIdempotent) {
            return Err(RequestError.failed("The node was stopped before the endpoint answered."));
        }
        if (context.signal.aborted && call.isIdempotent) {
            return Err(RequestError.cancelled());
        }
        if (mayHaveRun && !call.isIdempotent) {
            const message = `${lastMessage} The call may have run; it is not repeated.`;
            return Err(RequestError.outcomeUnknown(message));
        }
    }
    if (refusal !== undefined && !mayHaveRun) {
        return Ok(refusal);
    }
    const pauseMilliseconds = environment.endpoints.getPauseMilliseconds(service.endpoints);
    const retryAfterMilliseconds = pauseMilliseconds === undefined
        ? undefined
        : getPauseRetryDelay(pauseMilliseconds, environment.random);
    return Err(
        createFinalError(context, { mayHaveRun, attempts: tried.size, message: lastMessage, retryAfterMilliseconds }),
    );
}

async function sendCall(
    environment: RequestEnvironment,
    context: RequestContext,
    service: DocumentServiceConfiguration,
    call: DocumentCall,
    endpoint: string,
): Promise<Result<DocumentAnswer, DocumentFailure>> {
    const connection = environment.endpoints.getDocument(endpoint);
    if (connection === undefined) {
        return Err({ kind: "notSent", endpoint, message: `Endpoint ${endpoint} is no longer in the configuration.` });
    }
    const span = environment.tracing.startSpan("document call", {
        parent: context.span.context,
        attributes: { endpoint },
    });
    context.permit.revoke();
    const timeout = AbortSignal.timeout(service.timeoutMilliseconds);
    const signal = AbortSignal.any([timeout, call.isIdempotent ? context.signal : context.stopSignal]);
    const headers = { ...call.headers, traceparent: formatTraceparent(span.context) };
    const answer = await connection.send({ ...call, headers }, signal);
    if (!answer.ok) {
        span.setFailed(answer.val.message);
    }
    span.end();
    return answer;
}

function observeFailure(environment: RequestEnvironment, failure: DocumentFailure): void {
    const { endpoints } = environment;
    if (failure.kind === "notSent") {
        endpoints.observeUnreachable(failure.endpoint);
    }
    if (failure.kind === "unknown") {
        endpoints.getDocument(failure.endpoint)?.replace();
    }
}

/** Chooses a random serving endpoint that was not tried yet. Without one, chooses a random unreachable endpoint. */
function chooseEndpoint(
    environment: RequestEnvironment,
    service: DocumentServiceConfiguration,
    tried: ReadonlySet<string>,
): string | undefined {
    const serving: string[] = [];
    const unreachable: string[] = [];
    for (const endpoint of service.endpoints) {
        const state = tried.has(endpoint) ? undefined : environment.endpoints.getStateForRequests(endpoint)?.state;
        if (state === "serving") {
            serving.push(endpoint);
        }
        if (state === "unreachable") {
            unreachable.push(endpoint);
        }
    }
    const candidates = serving.length > 0 ? serving : unreachable;
    return candidates[Math.floor(environment.random() * candidates.length)];
}

function createFinalError(
    context: RequestContext,
    { mayHaveRun, attempts, message, retryAfterMilliseconds }: FailedCall,
): RequestError {
    if (mayHaveRun) {
        return RequestError.failed(message);
    }
    context.permit.restore();
    return RequestError.notRun(context.permit, {
        status: 503,
        code: "no_endpoint",
        message,
        retryAfterMilliseconds: retryAfterMilliseconds
            ?? (attempts === 0 ? noEndpointRetryAfterMilliseconds : refusalRetryAfterMilliseconds),
    });
}
