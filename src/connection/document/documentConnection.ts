import { Agent, buildConnector, type Dispatcher } from "undici";
import { Err, Ok, type Result } from "../../result.ts";
import { boundResponses } from "../boundResponses.ts";
import type { EndpointAddress } from "../endpoint/endpointAddress.ts";
import { isConnectFailure } from "../endpoint/isConnectFailure.ts";
import { isConnectionRefused } from "../endpoint/isConnectionRefused.ts";
import type { AnswerInstructions } from "../instructions/answerInstructions.ts";
import { readHeaderInstructions } from "../instructions/readHeaderInstructions.ts";
import { isFinalStatus } from "../isFinalStatus.ts";
import { readLimitedBody } from "../readLimitedBody.ts";
import type { DocumentAnswer } from "./documentAnswer.ts";
import type { DocumentCall } from "./documentCall.ts";
import type { DocumentFailure } from "./documentFailure.ts";

/** Options of a {@link DocumentConnection}. */
interface DocumentConnectionOptions {
    endpoint: string;
    /** Address of the endpoint, as host:port. */
    address: EndpointAddress;
    /** Opens the connections. Default: the HTTP client does. */
    connect?: buildConnector.connector;
    /** Called with the instructions of each answer. */
    onInstructions(endpoint: string, instructions: AnswerInstructions): void;
    /** Called when the endpoint refuses connections, since no process listens at its address. */
    onConnectionRefused(endpoint: string): void;
}

/** Larger responses are not forwarded, because they could not be stored completely. */
const maximumAnswerBytes = 16 * 1024 * 1024;
/** Size of the head and of the framing of the largest answer, in chunks of some kilobytes. */
const maximumOverheadBytes = 1024 * 1024;
const connectTimeoutMilliseconds = 500;
/** Idle connections are closed after a short time, since a dead one can't be distinguished from a working one. */
const keepAliveMilliseconds = 4_000;
const tooManyRequestsStatus = 429;
/** Limits for reading and discarding the body of a refusal, so that its connection can be reused. */
const maximumDiscardedBytes = 64 * 1024;
const maximumDiscardMilliseconds = 1_000;

/** The connections of this node to one endpoint of a document service. */
export class DocumentConnection {
    private readonly options: DocumentConnectionOptions;
    private agent: Agent;

    private constructor(options: DocumentConnectionOptions) {
        this.options = options;
        this.agent = createAgent(options.connect);
    }

    /** Creates the connection pool. Connections open with the first call. */
    static create(options: DocumentConnectionOptions): DocumentConnection {
        return new DocumentConnection(options);
    }

    /**
     * Sends a call without retries. A call that is not idempotent uses a new connection, so that it can't be lost on a
     * dead one.
     */
    async send(call: DocumentCall, signal: AbortSignal): Promise<Result<DocumentAnswer, DocumentFailure>> {
        const dispatcher = call.isIdempotent ? this.agent : createAgent(this.options.connect);
        try {
            return await this.exchange(dispatcher, call, signal);
        }
        catch (error) {
            this.observeConnectError(error);
            return Err(this.createFailure(isConnectFailure(error) ? "notSent" : "unknown", describeError(error)));
        }
        finally {
            if (dispatcher !== this.agent) {
                void dispatcher.destroy();
            }
        }
    }

    /**
     * Checks if the endpoint accepts a new connection. No byte is sent, since the services have no common health check.
     */
    isAnswering(): Promise<boolean> {
        const { address, connect = buildConnector({ timeout: connectTimeoutMilliseconds }) } = this.options;
        const { hostname, port, host } = new URL(`http://${address}`);
        return new Promise(resolve => {
            connect({ hostname, host, protocol: "http:", port }, (error, socket) => {
                if (error !== null) {
                    this.observeConnectError(error);
                    resolve(false);
                    return;
                }
                socket.on("error", () => undefined);
                socket.destroy();
                resolve(true);
            });
        });
    }

    /** Makes new calls use new connections. Used after a connection stopped responding. */
    replace(): void {
        const oldAgent = this.agent;
        this.agent = createAgent(this.options.connect);
        void oldAgent.close();
    }

    /** Closes the connections. */
    async close(): Promise<void> {
        await this.agent.close();
    }

    private async exchange(
        dispatcher: Dispatcher,
        call: DocumentCall,
        signal: AbortSignal,
    ): Promise<Result<DocumentAnswer, DocumentFailure>> {
        const response = await dispatcher.request({
            origin: `http://${this.options.address}`,
            method: call.method as Dispatcher.HttpMethod,
            path: call.path,
            // The content encoding of the response is not forwarded, so the body must not be encoded.
            headers: { ...call.headers, "accept-encoding": "identity" },
            body: call.body.length === 0 ? undefined : call.body,
            signal,
        });
        if (!isFinalStatus(response.statusCode)) {
            // The error that this causes says nothing new.
            response.body.on("error", () => undefined).destroy();
            return Err(this.createFailure("unknown", `its status is ${response.statusCode}`));
        }
        const instructions = readHeaderInstructions(response.statusCode, response.headers);
        this.options.onInstructions(this.options.endpoint, instructions);
        if (response.statusCode === tooManyRequestsStatus) {
            // The body is not awaited: the status is sufficient, and the rest of the body may never arrive.
            const discardSignal = AbortSignal.timeout(maximumDiscardMilliseconds);
            void response.body.dump({ limit: maximumDiscardedBytes, signal: discardSignal }).catch(() => undefined);
            return Err(this.createFailure("refused", "it is overloaded"));
        }
        const body = await readLimitedBody(response.body, maximumAnswerBytes);
        if (body === undefined) {
            return Err(this.createFailure("unknown", `its response is larger than ${maximumAnswerBytes} bytes`));
        }
        const contentType = response.headers["content-type"];
        const answer: DocumentAnswer = {
            status: response.statusCode,
            contentType: typeof contentType === "string" ? contentType : "application/octet-stream",
            body,
        };
        const { pauseMilliseconds } = instructions;
        return Ok(pauseMilliseconds === undefined ? answer : { ...answer, pauseMilliseconds });
    }

    private observeConnectError(error: unknown): void {
        if (isConnectionRefused(error)) {
            this.options.onConnectionRefused(this.options.endpoint);
        }
    }

    private createFailure(kind: DocumentFailure["kind"], reason: string): DocumentFailure {
        const { endpoint } = this.options;
        return { kind, endpoint, message: `Endpoint ${endpoint} returned no response: ${reason}.` };
    }
}

function createAgent(connect: buildConnector.connector | undefined): Agent {
    return new Agent({
        connect: boundResponses(
            connect ?? buildConnector({ timeout: connectTimeoutMilliseconds }),
            maximumAnswerBytes + maximumOverheadBytes,
        ),
        keepAliveTimeout: keepAliveMilliseconds,
        keepAliveMaxTimeout: keepAliveMilliseconds,
        headersTimeout: 0,
        bodyTimeout: 0,
        pipelining: 1,
    });
}

function describeError(error: unknown): string {
    return error instanceof Error ? error.message : String(error);
}
