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
import { RetryWait } from "../retryWait.ts";

/** A call and what it needs. */
interface DocumentCallOptions {
    environment: RequestEnvironment;
    context: RequestContext;
    service: DocumentServiceConfiguration;
    call: DocumentCall;
}

/** A call that no endpoint has answered. */
interface FailedCall {
    /** Whether an endpoint may have run it. */
    mayHaveRun: boolean;
    /** Number of times that it was sent to an endpoint. */
    attempts: number;
    message: string;
    /** Time until an endpoint that has asked for a pause accepts calls again; undefined if none has. */
    retryAfterMilliseconds: number | undefined;
}

/** Maximum number of endpoints that a call is sent to without a wait, and of its possible runs. */
const maximumAttempts = 3;
/** Retries that calls which surely have not run leave to those that may have run, since only the former can be refused. */
const keptRetries = 1;
const refusalRetryAfterMilliseconds = 1_000;
const noEndpointRetryAfterMilliseconds = 2_000;

/**
 * Sends a document call to one of the service's endpoints. A call that did not run fails over to another endpoint. A
 * call that may have run is retried only if it is idempotent; it then waits for an endpoint that accepts it, since its outcome would be
 * unknown otherwise. The retry budget limits all retries, and keeps the last one for calls that may have run.
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
    environment.retryBudget.observeRequest();
    return await DocumentCallRun.create({ environment, context, service, call }).run();
}

/** The attempts of one call. */
class DocumentCallRun {
    private readonly options: DocumentCallOptions;
    /** Endpoints that were tried, until all are allowed again. */
    private readonly tried = new Set<string>();
    private readonly wait = RetryWait.create();
    /** Monotonic time until which the call may be answered, in milliseconds. */
    private readonly dueAt: number;
    private attempts = 0;
    /** Number of attempts that may have run the call. */
    private possibleRuns = 0;
    /** Whether the last endpoint surely has not run the call. */
    private isRefused = false;
    private refusal: DocumentAnswer | undefined;
    private lastMessage = "No endpoint of the service accepts new work at the moment.";

    private constructor(options: DocumentCallOptions) {
        this.options = options;
        this.dueAt = options.environment.clock.getMonotonicTime() + options.service.timeoutMilliseconds;
    }

    static create(options: DocumentCallOptions): DocumentCallRun {
        return new DocumentCallRun(options);
    }

    async run(): Promise<Result<DocumentAnswer, RequestError>> {
        for (;;) {
            const endpoint = this.acquireEndpoint();
            const answer = endpoint === undefined ? await this.waitOrEnd() : await this.send(endpoint);
            if (answer !== undefined) {
                return answer;
            }
        }
    }

    /** Chooses the next endpoint, and takes the retry from the budget. A call that has waited asks one endpoint after each wait. */
    private acquireEndpoint(): string | undefined {
        const isNextPaced = this.isRefused && this.wait.hasBegun();
        const endpoint = isNextPaced ? undefined : this.chooseUntried();
        if (endpoint === undefined || this.attempts > 0 && !this.takeRetry()) {
            return undefined;
        }
        this.tried.add(endpoint);
        this.attempts += 1;
        return endpoint;
    }

    private chooseUntried(): string | undefined {
        const { environment, service } = this.options;
        return this.tried.size < maximumAttempts ? chooseEndpoint(environment, service, this.tried) : undefined;
    }

    private takeRetry(): boolean {
        const { retryBudget, clock, metrics } = this.options.environment;
        const isAllowed = retryBudget.takeRetry(clock.getMonotonicTime(), this.possibleRuns > 0 ? 0 : keptRetries);
        metrics.retriesTotal.inc({ outcome: isAllowed ? "sent" : "overBudget" });
        return isAllowed;
    }

    /**
     * Waits until another endpoint may be asked, or ends the call. A call that surely has not run doesn't wait, so that its caller can
     * send it to another node.
     * @returns How the call ends; undefined if it has waited.
     */
    private async waitOrEnd(): Promise<Result<DocumentAnswer, RequestError> | undefined> {
        const { call, environment: { clock } } = this.options;
        const mayWait = call.isIdempotent && this.possibleRuns > 0 && this.possibleRuns < maximumAttempts;
        const delayMilliseconds = mayWait ? this.wait.takeDelay(clock.getMonotonicTime(), this.dueAt) : undefined;
        if (delayMilliseconds === undefined) {
            return this.end();
        }
        await new Promise<void>(resolve => void clock.setTimer(delayMilliseconds, resolve));
        this.isRefused = false;
        if (this.chooseUntried() === undefined) {
            this.tried.clear();
        }
        return this.getAbortError();
    }

    /** Sends the call, and returns how it ends; undefined if it may be tried again. */
    private async send(endpoint: string): Promise<Result<DocumentAnswer, RequestError> | undefined> {
        const { environment, context, service, call } = this.options;
        const answer = await sendCall(environment, context, service, call, endpoint);
        if (answer.ok) {
            this.isRefused = call.isIdempotent && answer.val.pauseMilliseconds !== undefined;
            this.refusal = answer.val;
            return this.isRefused ? undefined : answer;
        }
        observeFailure(environment, answer.val);
        this.lastMessage = answer.val.message;
        this.isRefused = answer.val.kind !== "unknown";
        this.possibleRuns += Number(!this.isRefused);
        if (call.isIdempotent) {
            return this.getAbortError();
        }
        return this.possibleRuns > 0
            ? Err(RequestError.outcomeUnknown(`${this.lastMessage} The call may have run; it is not repeated.`))
            : undefined;
    }

    private end(): Result<DocumentAnswer, RequestError> {
        const { environment, context, service } = this.options;
        const mayHaveRun = this.possibleRuns > 0;
        if (this.refusal !== undefined && !mayHaveRun) {
            return Ok(this.refusal);
        }
        const pauseMilliseconds = environment.endpoints.getPauseMilliseconds(service.endpoints);
        const retryAfterMilliseconds = pauseMilliseconds === undefined
            ? undefined
            : getPauseRetryDelay(pauseMilliseconds, environment.random);
        const { attempts, lastMessage: message } = this;
        return Err(createFinalError(context, { mayHaveRun, attempts, message, retryAfterMilliseconds }));
    }

    /** Gets the error of a call whose node was stopped or whose caller has left; undefined if neither happened. */
    private getAbortError(): Result<never, RequestError> | undefined {
        const { stopSignal, signal } = this.options.context;
        if (stopSignal.aborted) {
            return Err(RequestError.failed("The node was stopped before the endpoint answered."));
        }
        return signal.aborted ? Err(RequestError.cancelled()) : undefined;
    }
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
