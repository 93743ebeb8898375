import { connect } from "node:net";
import { Agent, type Dispatcher } from "undici";
import { Err, Ok, type Result } from "../../result.ts";
import { isConnectFailure } from "../endpoint/isConnectFailure.ts";
import type { DocumentAnswer } from "./documentAnswer.ts";
import type { DocumentCall } from "./documentCall.ts";
import type { DocumentFailure } from "./documentFailure.ts";

/** Options of a {@link DocumentConnection}. */
interface DocumentConnectionOptions {
    endpoint: string;
    /** host:port. */
    address: string;
}

/** Answers above this are not passed on: they could not be kept whole. */
const maximumAnswerBytes = 16 * 1024 * 1024;
const connectTimeoutMilliseconds = 500;
/** Idle connections are retired soon, since one that has gone silent cannot be told from a good one. */
const keepAliveMilliseconds = 4_000;
const tooManyRequestsStatus = 429;
/** What is read of a refusal's body, so that its connection can be used again. */
const refusalRestBytes = 64 * 1024;
const refusalRestMilliseconds = 1_000;

/** The connections of this node to one endpoint of a document service. */
export class DocumentConnection {
    private readonly options: DocumentConnectionOptions;
    private agent = createAgent();

    private constructor(options: DocumentConnectionOptions) {
        this.options = options;
    }

    /** Creates the connections; nothing is opened before the first call. */
    static create(options: DocumentConnectionOptions): DocumentConnection {
        return new DocumentConnection(options);
    }

    /**
     * Sends one call, once. A call that may not be repeated gets a connection of its own, so that an old one that has
     * gone silent cannot swallow it.
     * @param call - The call.
     * @param signal - Aborts the call.
     */
    async send(call: DocumentCall, signal: AbortSignal): Promise<Result<DocumentAnswer, DocumentFailure>> {
        const dispatcher = call.isIdempotent ? this.agent : createAgent();
        try {
            return await this.exchange(dispatcher, call, signal);
        }
        catch (error) {
            return Err(this.createFailure(isConnectFailure(error) ? "notSent" : "unknown", describeError(error)));
        }
        finally {
            if (dispatcher !== this.agent) {
                void dispatcher.destroy();
            }
        }
    }

    /** Tells whether the endpoint takes a new connection. No byte is sent, since services have no common health call. */
    isAnswering(): Promise<boolean> {
        const { hostname, port } = new URL(`tcp://${this.options.address}`);
        return new Promise(resolve => {
            const socket = connect({ host: hostname.replace(/^\[|\]$/g, ""), port: Number(port) });
            const settle = (isAnswering: boolean) => {
                socket.destroy();
                resolve(isAnswering);
            };
            socket.setTimeout(connectTimeoutMilliseconds, () => settle(false));
            socket.once("connect", () => settle(true));
            socket.once("error", () => settle(false));
        });
    }

    /** Drops all open connections, after one has proved silent; new calls open new ones. */
    replace(): void {
        const oldAgent = this.agent;
        this.agent = createAgent();
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
            // Only the type of an answer's content is passed on, so its bytes must not need an encoding to be read.
            headers: { ...call.headers, "accept-encoding": "identity" },
            body: call.body.length === 0 ? undefined : call.body,
            signal,
        });
        if (response.statusCode === tooManyRequestsStatus) {
            // Not waited for: the status says all, and the rest may not come.
            const signalOfRest = AbortSignal.timeout(refusalRestMilliseconds);
            void response.body.dump({ limit: refusalRestBytes, signal: signalOfRest }).catch(() => undefined);
            return Err(this.createFailure("refused", "it is too busy"));
        }
        const body = await readAnswerBody(response.body);
        if (body === undefined) {
            return Err(this.createFailure("unknown", `its answer is larger than ${maximumAnswerBytes} bytes`));
        }
        const contentType = response.headers["content-type"];
        return Ok({
            status: response.statusCode,
            contentType: typeof contentType === "string" ? contentType : "application/octet-stream",
            body,
        });
    }

    private createFailure(kind: DocumentFailure["kind"], reason: string): DocumentFailure {
        const { endpoint } = this.options;
        return { kind, endpoint, message: `Endpoint ${endpoint} brought no answer: ${reason}.` };
    }
}

function createAgent(): Agent {
    return new Agent({
        connectTimeout: connectTimeoutMilliseconds,
        keepAliveTimeout: keepAliveMilliseconds,
        keepAliveMaxTimeout: keepAliveMilliseconds,
        headersTimeout: 0,
        bodyTimeout: 0,
        pipelining: 1,
    });
}

async function readAnswerBody(stream: AsyncIterable<Buffer>): Promise<Buffer | undefined> {
    const chunks: Buffer[] = [];
    let length = 0;
    for await (const chunk of stream) {
        length += chunk.length;
        if (length > maximumAnswerBytes) {
            return undefined;
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}

function describeError(error: unknown): string {
    return error instanceof Error ? error.message : String(error);
}
