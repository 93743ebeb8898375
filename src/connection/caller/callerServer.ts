import findMyWay from "find-my-way";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { createServer as createTlsServer } from "node:https";
import { v7 as createUuid } from "uuid";
import { InvariantError } from "../../process/invariantError.ts";
import { events } from "../../process/logging/events.ts";
import { parseAddress } from "../../process/settings/parseAddress.ts";
import type { TlsSettings } from "../../process/settings/tlsSettings.ts";
import { parseTraceparent } from "../../process/tracing/parseTraceparent.ts";
import { handleDocument } from "../../request/document/handleDocument.ts";
import { handleChat } from "../../request/model/handleChat.ts";
import { NotRunPermit } from "../../request/notRunPermit.ts";
import { Outcome } from "../../request/outcome.ts";
import type { RequestContext } from "../../request/requestContext.ts";
import type { RequestEnvironment } from "../../request/requestEnvironment.ts";
import { RequestError } from "../../request/requestError.ts";
import { Err, Ok, type Result } from "../../result.ts";
import type { ConfigurationVersion } from "../../version/configurationVersion.ts";
import type { CustomerIndex } from "../../version/customerIndex.ts";
import { AnswerWriter } from "./answerWriter.ts";
import { createForwardedHeaders } from "./createForwardedHeaders.ts";
import { readBody } from "./readBody.ts";

/** Options of a {@link CallerServer}. */
interface CallerServerOptions {
    /** host:port. */
    listener: string;
    tls?: TlsSettings;
    limits: { maximumConnections: number; headerTimeoutMilliseconds: number; bodyTimeoutMilliseconds: number; };
    environment: RequestEnvironment;
    /** The configuration in force, or undefined while the node has none. */
    getVersion(): { version: ConfigurationVersion; customers: CustomerIndex; } | undefined;
    /** Why the node takes no new requests; undefined while it does. */
    getRefusal(): { code: string; message: string; retryAfterMilliseconds: number; } | undefined;
}

/** Answers one kind of request, or returns the error to answer. */
type Handler = (context: RequestContext, body: Buffer, writer: AnswerWriter) => Promise<Result<void, RequestError>>;

const MaximumHeaderBytes = 32 * 1024;
const MillisecondsPerSecond = 1_000;
const NotReadyRetryMilliseconds = 1_000;
const allMethods = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"] as const;

/** The listener for callers: routes, identifies the customer, reads the body, and answers each request exactly once. */
export class CallerServer {
    private readonly options: CallerServerOptions;
    private readonly server: Server;
    private requestsInProgress = 0;
    private onIdle: (() => void) | undefined;
    /** Aborts when what still runs is to be ended by force. */
    private readonly stop = new AbortController();

    private constructor(options: CallerServerOptions) {
        this.options = options;
        const router = this.createRouter();
        const { limits, tls } = options;
        const serverOptions = {
            maxHeaderSize: MaximumHeaderBytes,
            headersTimeout: limits.headerTimeoutMilliseconds,
            requestTimeout: limits.bodyTimeoutMilliseconds,
        };
        const onRequest = (request: IncomingMessage, response: ServerResponse) => {
            router.lookup(request, response);
        };
        this.server = tls === undefined
            ? createServer(serverOptions, onRequest)
            : createTlsServer({ ...serverOptions, cert: tls.certificate, key: tls.key }, onRequest);
        this.server.maxConnections = limits.maximumConnections;
    }

    /** Creates a server that does not listen yet. */
    static create(options: CallerServerOptions): CallerServer {
        return new CallerServer(options);
    }

    /** Starts to listen. */
    async listen(): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(parseAddress(this.options.listener), resolve);
        });
    }

    /** Number of requests that have no final answer yet. */
    getRequestsInProgress(): number {
        return this.requestsInProgress;
    }

    /** Waits until every request has its final answer. */
    async waitUntilIdle(): Promise<void> {
        if (this.requestsInProgress > 0) {
            await new Promise<void>(resolve => {
                this.onIdle = resolve;
            });
        }
    }

    /** Ends the requests that still run; each gets the answer that is true of it. */
    abortRequests(): void {
        this.stop.abort();
    }

    /** Stops listening and closes idle connections. */
    async close(): Promise<void> {
        const closed = new Promise<void>(resolve => void this.server.close(() => resolve()));
        this.server.closeIdleConnections();
        const timer = setTimeout(() => this.server.closeAllConnections(), MillisecondsPerSecond);
        await closed;
        clearTimeout(timer);
    }

    private createRouter(): findMyWay.Instance<findMyWay.HTTPVersion.V1> {
        const router = findMyWay({
            defaultRoute: (request, response) => this.answerUnrouted(router, request, response),
        });
        const { environment } = this.options;
        router.on("POST", "/v1/chat/completions", (request, response) => {
            void this.serve(request, response, "chat", (context, body, writer) => {
                return handleChat(environment, context, body, writer);
            });
        });
        router.on("GET", "/v1/models", (request, response) => {
            void this.serve(request, response, "models", (context, _body, writer) => answerModels(context, writer));
        });
        router.on([...allMethods], "/v1/services/:service/*", (request, response, parameters) => {
            const service = parameters["service"] ?? "";
            void this.serve(request, response, service, (context, body, writer) => {
                const path = (request.url ?? "/").slice(`/v1/services/${service}`.length);
                const headers = createForwardedHeaders(request.headers);
                const call = { service, method: request.method ?? "GET", path, headers, body };
                return handleDocument(environment, context, call, writer);
            });
        });
        return router;
    }

    private answerUnrouted(
        router: findMyWay.Instance<findMyWay.HTTPVersion.V1>,
        request: IncomingMessage,
        response: ServerResponse,
    ): void {
        request.resume();
        const path = (request.url ?? "/").split("?")[0]!;
        const allowed = allMethods.filter(method => router.find(method, path) !== null);
        const writer = AnswerWriter.create(response);
        if (allowed.length === 0) {
            const message = `There is nothing at ${path}. Use /v1/chat/completions, /v1/models or /v1/services/NAME/.`;
            writer.sendError(RequestError.invalid(404, "not_found", message));
            return;
        }
        const message = `${path} takes ${allowed.join(", ")}, not ${request.method}.`;
        const error = RequestError.invalid(405, "method_not_allowed", message);
        writer.sendError(error, { allow: allowed.join(", ") });
    }

    /** Takes one request to its one final answer, whatever happens on the way. */
    private async serve(
        request: IncomingMessage,
        response: ServerResponse,
        label: string,
        handler: Handler,
    ): Promise<void> {
        const { metrics, clock } = this.options.environment;
        const arrivedAt = clock.getMonotonicTime();
        const writer = AnswerWriter.create(response);
        const controller = new AbortController();
        this.requestsInProgress += 1;
        response.on("close", () => controller.abort());
        const signal = AbortSignal.any([controller.signal, this.stop.signal]);
        const result = await this.answer(request, arrivedAt, signal, writer, handler);
        const outcome = result.ok ? Outcome.Finished : result.val.outcome;
        if (!result.ok) {
            writer.sendError(result.val);
        }
        metrics.requestsTotal.inc({ service: this.getKnownLabel(label), outcome });
        metrics.requestSeconds.observe(
            { service: this.getKnownLabel(label) },
            (clock.getMonotonicTime() - arrivedAt) / MillisecondsPerSecond,
        );
        this.requestsInProgress -= 1;
        if (this.requestsInProgress === 0) {
            this.onIdle?.();
        }
    }

    /** Metric labels are only names of the configuration, so that callers cannot make new ones. */
    private getKnownLabel(label: string): string {
        const services = this.options.getVersion()?.version.configuration.services ?? {};
        return label === "chat" || label === "models" || Object.hasOwn(services, label) ? label : "unknown";
    }

    private async answer(
        request: IncomingMessage,
        arrivedAt: number,
        signal: AbortSignal,
        writer: AnswerWriter,
        handler: Handler,
    ): Promise<Result<void, RequestError>> {
        const { environment } = this.options;
        const context = this.createContext(request, arrivedAt, signal);
        if (!context.ok) {
            request.resume();
            return context;
        }
        const { span, version } = context.val;
        try {
            const body = await readBody(request, version.configuration.limits.maximumBodyBytes);
            return body.ok ? await handler(context.val, body.val, writer) : body;
        }
        catch (error) {
            return Err(this.describeCrash(context.val.id, error));
        }
        finally {
            span.end();
            environment.metrics.queueDepth.set(environment.admission.waitingCount);
        }
    }

    private createContext(
        request: IncomingMessage,
        arrivedAt: number,
        signal: AbortSignal,
    ): Result<RequestContext, RequestError> {
        const { environment, getVersion, getRefusal } = this.options;
        const permit = NotRunPermit.create();
        const refusal = getRefusal();
        const current = getVersion();
        if (refusal !== undefined || current === undefined) {
            const fields = refusal ?? createNotReadyRefusal();
            return Err(RequestError.notRun(permit, { status: 503, ...fields }));
        }
        const customer = current.customers.getCustomer(getApiKey(request));
        if (customer === undefined) {
            const message = "The API key is not known. Send `Authorization: Bearer KEY` with a key of this service.";
            return Err(RequestError.invalid(401, "invalid_api_key", message));
        }
        const id = createUuid();
        const parent = parseTraceparent(getHeader(request, "traceparent"));
        const span = environment.tracing.startSpan("request", { parent, attributes: { customer, request: id } });
        const timeout = Number(getHeader(request, "x-request-timeout-ms"));
        return Ok({
            id,
            customer,
            version: current.version,
            arrivedAt,
            idempotencyKey: getHeader(request, "idempotency-key"),
            isMarkedNonIdempotent: getHeader(request, "x-foxlead-idempotent") === "false",
            deadline: timeout > 0 ? arrivedAt + timeout : undefined,
            signal,
            stopSignal: this.stop.signal,
            permit,
            span,
        });
    }

    private describeCrash(request: string, error: unknown): RequestError {
        const { log, metrics } = this.options.environment;
        const message = error instanceof Error ? error.message : String(error);
        if (error instanceof InvariantError) {
            metrics.invariantFailuresTotal.inc({ name: error.invariant });
            log.write(events.invariantBroken, { request, invariant: error.invariant, message });
            return RequestError.failed(`The check ${error.invariant} failed: ${message}`);
        }
        log.write(events.requestCrashed, { request, message });
        return RequestError.failed("The request ended by an unexpected error. Ask the operators for event FL1703.");
    }
}

function createNotReadyRefusal(): { code: string; message: string; retryAfterMilliseconds: number; } {
    const message = "This node has no configuration yet. Ask again soon, or another node.";
    return { code: "not_ready", message, retryAfterMilliseconds: NotReadyRetryMilliseconds };
}

function answerModels(context: RequestContext, writer: AnswerWriter): Promise<Result<void, RequestError>> {
    const data: object[] = [];
    for (const [id, service] of Object.entries(context.version.configuration.services)) {
        if (service.kind === "model") {
            data.push({ id, object: "model", owned_by: "foxlead" });
        }
    }
    writer.sendWhole(200, "application/json", JSON.stringify({ object: "list", data }));
    return Promise.resolve(Ok.EMPTY);
}

function getApiKey(request: IncomingMessage): string {
    const [scheme, key] = (request.headers.authorization ?? "").split(" ");
    return scheme?.toLowerCase() === "bearer" ? key ?? "" : "";
}

function getHeader(request: IncomingMessage, name: string): string | undefined {
    const value = request.headers[name];
    return typeof value === "string" && value !== "" ? value : undefined;
}
