import type { DocumentAnswer } from "../../connection/document/documentAnswer.ts";
import type { DocumentCall } from "../../connection/document/documentCall.ts";
import type { DocumentFailure } from "../../connection/document/documentFailure.ts";
import { formatTraceparent } from "../../process/tracing/formatTraceparent.ts";
import { Err, type Result } from "../../result.ts";
import type { DocumentServiceConfiguration } from "../../version/configuration.ts";
import type { RequestContext } from "../requestContext.ts";
import type { RequestEnvironment } from "../requestEnvironment.ts";
import { RequestError } from "../requestError.ts";

const maximumSends = 3;
const refusalRetryMilliseconds = 1_000;
const noEndpointRetryMilliseconds = 2_000;

/**
 * Runs a document call at one of the service's endpoints. A call that surely did not run goes on to the next endpoint;
 * one that may have run is repeated only if it is idempotent and the retry budget allows.
 * @param environment - Parts of the process.
 * @param context - The request.
 * @param service - The service.
 * @param call - The call.
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
    let lastMessage = "No endpoint of the service takes new work now.";
    retryBudget.observeRequest();
    while (tried.size < maximumSends) {
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
        const answer = await sendOnce(environment, context, service, call, endpoint);
        if (answer.ok) {
            return answer;
        }
        noteFailure(environment, answer.val);
        lastMessage = answer.val.message;
        mayHaveRun ||= answer.val.kind === "unknown";
        if (context.stopSignal.aborted && call.isIdempotent) {
            return Err(RequestError.failed("The node was stopped before the answer came."));
        }
        if (context.signal.aborted && call.isIdempotent) {
            return Err(RequestError.cancelled());
        }
        if (mayHaveRun && !call.isIdempotent) {
            const message = `${lastMessage} The call may have run; it is not repeated.`;
            return Err(RequestError.outcomeUnknown(message));
        }
    }
    return Err(createFinalError(context, mayHaveRun, tried.size, lastMessage));
}

async function sendOnce(
    environment: RequestEnvironment,
    context: RequestContext,
    service: DocumentServiceConfiguration,
    call: DocumentCall,
    endpoint: string,
): Promise<Result<DocumentAnswer, DocumentFailure>> {
    const connection = environment.endpoints.getDocument(endpoint);
    if (connection === undefined) {
        return Err({ kind: "notSent", endpoint, message: `Endpoint ${endpoint} has left the configuration.` });
    }
    const span = environment.tracing.startSpan("document call", {
        parent: context.span.context,
        attributes: { endpoint },
    });
    context.permit.giveUp();
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

function noteFailure(environment: RequestEnvironment, failure: DocumentFailure): void {
    const { endpoints } = environment;
    if (failure.kind === "notSent") {
        endpoints.observeUnreachable(failure.endpoint);
    }
    if (failure.kind === "unknown") {
        endpoints.getDocument(failure.endpoint)?.replace();
    }
}

/** Chooses among the serving endpoints that were not tried, preferring none, so that load spreads evenly. */
function chooseEndpoint(
    environment: RequestEnvironment,
    service: DocumentServiceConfiguration,
    tried: ReadonlySet<string>,
): string | undefined {
    const serving: string[] = [];
    const unreachable: string[] = [];
    for (const endpoint of service.endpoints) {
        const state = tried.has(endpoint) ? undefined : environment.endpoints.getState(endpoint)?.state;
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
    mayHaveRun: boolean,
    sends: number,
    message: string,
): RequestError {
    if (mayHaveRun) {
        return RequestError.failed(message);
    }
    context.permit.restore();
    return RequestError.notRun(context.permit, {
        status: 503,
        code: "no_endpoint",
        message,
        retryAfterMilliseconds: sends === 0 ? noEndpointRetryMilliseconds : refusalRetryMilliseconds,
    });
}
