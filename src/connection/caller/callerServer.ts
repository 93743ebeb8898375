import findMyWay from "find-my-way";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { InputBarrier } from "../../process/loop/inputBarrier.ts";
import { GarbageCollector } from "../../process/memory/garbageCollector.ts";
import { MemoryAccount } from "../../process/memory/memoryAccount.ts";
import { parseAddress } from "../../process/settings/parseAddress.ts";
import { handleDocument } from "../../request/document/handleDocument.ts";
import { handleChat } from "../../request/model/handleChat.ts";
import { Outcome } from "../../request/outcome.ts";
import type { RequestContext } from "../../request/requestContext.ts";
import { RequestError } from "../../request/requestError.ts";
import { Err, type Result } from "../../result.ts";
import { AnswerWriter } from "./answerWriter.ts";
import { CallerConnections } from "./callerConnections.ts";
import type { CallerServerOptions } from "./callerServerOptions.ts";
import { closeConnectionsInStages } from "./closeConnectionsInStages.ts";
import { createForwardedHeaders } from "./createForwardedHeaders.ts";
import { createHttpServer } from "./createHttpServer.ts";
import { createRequestContext } from "./createRequestContext.ts";
import { getServicePath } from "./getServicePath.ts";
import { handleModels } from "./handleModels.ts";
import { reportCrash } from "./reportCrash.ts";
import { RunningRequests } from "./runningRequests.ts";

/** Answers one kind of request, or returns the error to send. */
type Handler = (context: RequestContext, body: Buffer, writer: AnswerWriter) => Promise<Result<void, RequestError>>;

const millisecondsPerSecond = 1_000;
const allMethods = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"] as const;

/**
 * The HTTP server for callers. It routes requests, identifies their customers, reads their bodies and sends exactly one
 * final answer per request.
 */
export class CallerServer {
    private readonly options: CallerServerOptions;
    private readonly server: Server;
    private readonly connections: CallerConnections;
    /**
     * Delays requests until pending input is read, which may contain the disconnect of the caller if the event loop was
     * blocked.
     */
    private readonly barrier = InputBarrier.create();
    private readonly running = RunningRequests.create();
    /** Aborts the remaining requests on a forced stop. */
    private readonly stopController = new AbortController();

    private constructor(options: CallerServerOptions) {
        this.options = options;
        const { environment: { clock, log }, limits: { maximumHeldBytes, ...limits } } = options;
        const memory = MemoryAccount.create({
            limitBytes: maximumHeldBytes,
            clock,
            log,
            collector: GarbageCollector.ofProcess,
        });
        this.connections = CallerConnections.create({ clock, log, memory, ...limits });
        const router = this.createRouter();
        this.server = createHttpServer(options, (request, response) => {
            // What was read before a connection was closed is still parsed.
            if (request.socket.destroyed) {
                return;
            }
            if (this.connections.isTooLate(request)) {
                this.connections.drop(request);
                return;
            }
            this.connections.admit(request, () => router.lookup(request, response));
        });
        const connectionEvent = options.tls === undefined ? "connection" : "secureConnection";
        this.server.on(connectionEvent, (socket: Socket) => this.connections.open(socket));
        closeConnectionsInStages(this.server, socket => {
            this.running.add();
            socket.once("close", () => this.running.remove());
        });
        this.server.on("clientError", (error: Error, socket) => {
            this.connections.handleClientError(error, socket as Socket);
        });
    }

    /** Creates a server that is not listening yet. */
    static create(options: CallerServerOptions): CallerServer {
        return new CallerServer(options);
    }

    /** Starts listening. */
    async listen(): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(parseAddress(this.options.listener), resolve);
        });
    }

    /** Gets the number of requests whose final answer has not been sent completely, or whose connection closes after it. */
    getRequestsInProgress(): number {
        return this.running.getCount();
    }

    /** Waits until the final answers of all requests are sent. */
    async waitUntilIdle(): Promise<void> {
        await this.running.waitUntilIdle();
    }

    /** Aborts the running requests. Each one is answered with its actual outcome. */
    abortRequests(): void {
        this.stopController.abort();
    }

    /** Stops listening and closes idle connections. */
    async close(): Promise<void> {
        const closed = new Promise<void>(resolve => void this.server.close(() => resolve()));
        this.server.closeIdleConnections();
        const timer = setTimeout(() => this.server.closeAllConnections(), millisecondsPerSecond);
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
            void this.serve(request, response, "models", (context, _body, writer) => handleModels(context, writer));
        });
        router.on([...allMethods], "/v1/services/:service/*", (request, response, parameters) => {
            const service = parameters["service"] ?? "";
            void this.serve(request, response, service, (context, body, writer) => {
                const path = getServicePath(request.url ?? "/");
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
        this.connections.add(request, response);
        const path = (request.url ?? "/").split("?")[0]!;
        const allowed = allMethods.filter(method => router.find(method, path) !== null);
        const writer = this.createWriter(response);
        if (allowed.length === 0) {
            const message =
                `The path ${path} does not exist. Use /v1/chat/completions, /v1/models or /v1/services/NAME/.`;
            writer.sendError(RequestError.invalid(404, "not_found", message));
            return;
        }
        const message = `${path} takes ${allowed.join(", ")}, not ${request.method}.`;
        const error = RequestError.invalid(405, "method_not_allowed", message);
        writer.sendError(error, { allow: allowed.join(", ") });
    }

    private createWriter(response: ServerResponse): AnswerWriter {
        const { req: request } = response;
        const closesConnection = () => this.options.getRefusal() !== undefined && this.connections.isLatest(request);
        return AnswerWriter.create(response, closesConnection, () => this.connections.startEnding(request));
    }

    /** Handles one request and ensures that it gets exactly one final answer. */
    private async serve(
        request: IncomingMessage,
        response: ServerResponse,
        label: string,
        handler: Handler,
    ): Promise<void> {
        const { clock } = this.options.environment;
        const arrivedAt = clock.getMonotonicTime();
        const writer = this.createWriter(response);
        this.running.add();
        const signal = AbortSignal.any([this.connections.add(request, response), this.stopController.signal]);
        const result = await this.answer(request, response, arrivedAt, signal, writer, handler);
        const outcome = this.finish(result, writer);
        this.observe(label, outcome, arrivedAt);
        await writer.waitUntilSent(signal);
        this.running.remove();
    }

    /** Sends the error of a failed request, unless its final answer has already been written. */
    private finish(result: Result<void, RequestError>, writer: AnswerWriter): Outcome {
        const error = result.ok ? undefined : result.val;
        try {
            if (error !== undefined && !writer.hasFinalAnswer()) {
                writer.sendError(error);
            }
            writer.assertFinalAnswer();
        }
        catch (crash) {
            reportCrash(this.options.environment, "", crash);
            writer.abort();
            return Outcome.Failed;
        }
        return error?.outcome ?? Outcome.Finished;
    }

    private observe(service: string, outcome: Outcome, arrivedAt: number): void {
        const { metrics, clock } = this.options.environment;
        const label = this.getKnownLabel(service);
        metrics.requestsTotal.inc({ service: label, outcome });
        metrics.requestSeconds.observe(
            { service: label },
            (clock.getMonotonicTime() - arrivedAt) / millisecondsPerSecond,
        );
    }

    /** Limits the metric labels to names of the configuration, so that callers can't create new ones. */
    private getKnownLabel(label: string): string {
        const services = this.options.getVersion()?.version.configuration.services ?? {};
        return label === "chat" || label === "models" || Object.hasOwn(services, label) ? label : "unknown";
    }

    private async answer(
        request: IncomingMessage,
        response: ServerResponse,
        arrivedAt: number,
        signal: AbortSignal,
        writer: AnswerWriter,
        handler: Handler,
    ): Promise<Result<void, RequestError>> {
        const { environment } = this.options;
        const signals = { signal, stopSignal: this.stopController.signal };
        const context = createRequestContext(this.options, request, arrivedAt, signals);
        if (!context.ok) {
            return context;
        }
        const { span, version } = context.val;
        try {
            const { maximumBodyBytes } = version.configuration.limits;
            const body = await this.connections.readBody(request, response, maximumBodyBytes);
            if (!body.ok) {
                return body;
            }
            await new Promise<void>(resolve => this.barrier.defer(resolve));
            return signal.aborted ? Err(RequestError.cancelled()) : await handler(context.val, body.val, writer);
        }
        catch (error) {
            return Err(reportCrash(environment, context.val.id, error));
        }
        finally {
            span.end();
            environment.metrics.queueDepth.set(environment.admission.waitingCount);
        }
    }
}
