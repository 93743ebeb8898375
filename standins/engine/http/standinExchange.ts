import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from "node:http";
import type { ConnectionGate } from "./connectionGate.ts";

/** Options of {@link StandinExchange}. */
interface StandinExchangeOptions {
    request: IncomingMessage;
    response: ServerResponse;
    body: Buffer;
    gate: ConnectionGate;
    /** One-way delay of responses, in milliseconds. */
    hopDelayMilliseconds: number;
    /** Whether the request controls the stand-in and bypasses all faults. */
    isControl: boolean;
}

/** A completely received HTTP request and its response. */
export class StandinExchange {
    readonly method: string;
    readonly path: string;
    readonly query: URLSearchParams;
    readonly headers: IncomingMessage["headers"];
    readonly body: Buffer;
    private readonly options: StandinExchangeOptions;

    private constructor(options: StandinExchangeOptions) {
        const target = options.request.url ?? "/";
        const queryStart = target.indexOf("?");
        this.method = options.request.method ?? "GET";
        this.path = queryStart < 0 ? target : target.slice(0, queryStart);
        this.query = new URLSearchParams(queryStart < 0 ? "" : target.slice(queryStart + 1));
        this.headers = options.request.headers;
        this.body = options.body;
        this.options = options;
    }

    /** Creates an exchange. */
    static create(options: StandinExchangeOptions): StandinExchange {
        return new StandinExchange(options);
    }

    /**
     * Sends a complete JSON response.
     * @param headers - Additional headers.
     */
    sendJson(status: number, value: unknown, headers: OutgoingHttpHeaders = {}): void {
        this.deliver(response => {
            response.writeHead(status, { "content-type": "application/json", ...headers });
            response.end(JSON.stringify(value));
        });
    }

    /** Starts a streamed response with one JSON value per line. */
    startLines(): void {
        this.deliver(response => {
            response.writeHead(200, { "content-type": "application/x-ndjson" });
            response.flushHeaders();
        });
    }

    /** Sends a value as one line of the streamed response. */
    sendLine(value: unknown): void {
        this.deliver(response => void response.write(JSON.stringify(value) + "\n"));
    }

    /** Ends the streamed response. */
    endLines(): void {
        this.deliver(response => void response.end());
    }

    /** Sends half of a line and then destroys the connection. */
    sendPartialLine(value: unknown): void {
        const line = JSON.stringify(value);
        this.deliver(response => {
            response.write(line.slice(0, line.length / 2), () => response.socket?.destroy());
        });
    }

    /** Destroys the connection without a response. */
    reset(): void {
        this.deliver(response => void response.socket?.destroy());
    }

    private deliver(write: (response: ServerResponse) => void): void {
        const { response, request, gate, hopDelayMilliseconds, isControl } = this.options;
        const writeIfOpen = () => {
            if (!response.destroyed && !response.writableEnded) {
                write(response);
            }
        };
        if (isControl) {
            writeIfOpen();
        }
        else if (hopDelayMilliseconds > 0) {
            setTimeout(() => gate.run(request.socket, writeIfOpen), hopDelayMilliseconds);
        }
        else {
            gate.run(request.socket, writeIfOpen);
        }
    }
}
