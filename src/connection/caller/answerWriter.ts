import type { ServerResponse } from "node:http";
import { InvariantError } from "../../process/invariantError.ts";
import type { RequestError } from "../../request/requestError.ts";
import { createErrorBody } from "./createErrorBody.ts";

const MillisecondsPerSecond = 1000;

/**
 * Writes the one final answer of a request to its caller, whole or as server-sent events. Text that a slow reader has not
 * taken is collected and leaves as one event, so that memory stays bounded by the answer's text.
 */
export class AnswerWriter {
    private readonly response: ServerResponse;
    private isFinal = false;
    private isBlocked = false;
    private pendingText = "";
    private createTextEvent: (text: string) => string = text => text;

    private constructor(response: ServerResponse) {
        this.response = response;
    }

    /** Creates the writer of one request. */
    static create(response: ServerResponse): AnswerWriter {
        const writer = new AnswerWriter(response);
        response.on("drain", () => writer.flush());
        return writer;
    }

    /** Tells whether the status line has left, so that an error can only be told inside the stream. */
    isStreaming(): boolean {
        return this.response.headersSent;
    }

    /**
     * Sends a whole answer.
     * @param status - HTTP status.
     * @param contentType - Media type of the body.
     * @param body - The body.
     * @param headers - Further headers.
     */
    sendWhole(status: number, contentType: string, body: string | Buffer, headers: Record<string, string> = {}): void {
        this.markFinal();
        if (this.response.destroyed) {
            return;
        }
        this.response.writeHead(status, {
            ...headers,
            "content-type": contentType,
            "content-length": Buffer.byteLength(body),
        });
        this.response.end(body);
    }

    /**
     * Starts a stream of events.
     * @param headers - Further headers.
     * @param createTextEvent - Makes the data of one event out of text.
     */
    startStream(headers: Record<string, string>, createTextEvent: (text: string) => string): void {
        this.createTextEvent = createTextEvent;
        this.response.writeHead(200, {
            ...headers,
            "content-type": "text/event-stream; charset=utf-8",
            "cache-control": "no-cache",
        });
    }

    /** Sends text as an event, or keeps it until the reader has caught up. */
    writeText(text: string): void {
        this.pendingText += text;
        if (!this.isBlocked) {
            this.flush();
        }
    }

    /**
     * Ends a stream.
     * @param lastEvents - Data of the events that close it.
     */
    endStream(lastEvents: readonly string[]): void {
        this.markFinal();
        this.flush();
        for (const data of lastEvents) {
            this.writeEvent(data);
        }
        this.response.end();
    }

    /** Sends an error, as a whole answer or, once the stream has begun, as its last event. */
    sendError(error: RequestError, headers: Record<string, string> = {}): void {
        const body = JSON.stringify(createErrorBody(error));
        if (this.isStreaming()) {
            this.endStream([body]);
            return;
        }
        this.sendWhole(error.status, "application/json", body, { ...headers, ...createRetryHeaders(error) });
    }

    private flush(): void {
        this.isBlocked = false;
        if (this.pendingText === "") {
            return;
        }
        const text = this.pendingText;
        this.pendingText = "";
        this.writeEvent(this.createTextEvent(text));
    }

    private writeEvent(data: string): void {
        if (!this.response.destroyed) {
            this.isBlocked = !this.response.write(`data: ${data}\n\n`);
        }
    }

    private markFinal(): void {
        if (this.isFinal) {
            throw InvariantError.create("oneFinalAnswer", "A request was about to get a second final answer.");
        }
        this.isFinal = true;
    }
}

function createRetryHeaders(error: RequestError): Record<string, string> {
    if (error.retryAfterMilliseconds === undefined) {
        return {};
    }
    const milliseconds = Math.ceil(error.retryAfterMilliseconds);
    return {
        "retry-after": String(Math.max(1, Math.ceil(milliseconds / MillisecondsPerSecond))),
        "retry-after-ms": String(milliseconds),
    };
}
