import type { ServerResponse } from "node:http";
import { InvariantError } from "../../process/invariantError.ts";
import type { RequestError } from "../../request/requestError.ts";
import { createErrorBody } from "./createErrorBody.ts";
import { drainBody } from "./drainBody.ts";
import { hasUnreadBody } from "./hasUnreadBody.ts";

const millisecondsPerSecond = 1000;
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/**
 * Writes the one final answer of a request to its caller, whole or as server-sent events. Text that a slow reader has not
 * taken is collected and leaves as one event, so that memory stays bounded by the answer's text.
 */
export class AnswerWriter {
    private readonly response: ServerResponse;
    private readonly closesConnection: () => boolean;
    private isFinal = false;
    private isBlocked = false;
    private pendingText = "";
    private createTextEvent: (text: string) => string = text => text;

    private constructor(response: ServerResponse, closesConnection: () => boolean) {
        this.response = response;
        this.closesConnection = closesConnection;
    }

    /**
     * Creates the writer of one request.
     * @param response - The caller's response.
     * @param closesConnection - Tells whether an answer that leaves now is the last one of its connection.
     */
    static create(response: ServerResponse, closesConnection: () => boolean = () => false): AnswerWriter {
        const writer = new AnswerWriter(response, closesConnection);
        response.on("drain", () => writer.flush());
        return writer;
    }

    /** Tells whether the status line has left, so that an error can only be reported inside the stream. */
    isStreaming(): boolean {
        return this.response.headersSent;
    }

    /** Tells whether the final answer has left. */
    hasFinalAnswer(): boolean {
        return this.isFinal;
    }

    /** @throws InvariantError where the request has no final answer. */
    assertFinalAnswer(): void {
        if (!this.isFinal) {
            throw InvariantError.create("oneFinalAnswer", "A request was about to end without a final answer.");
        }
    }

    /**
     * Waits until the caller has taken the answer or has gone away.
     * @param signal - Ends the wait.
     */
    async waitUntilTaken(signal: AbortSignal): Promise<void> {
        const { response } = this;
        if (response.writableFinished || response.destroyed || signal.aborted) {
            return;
        }
        await new Promise<void>(resolve => {
            response.once("finish", resolve);
            response.once("close", resolve);
            signal.addEventListener("abort", () => resolve(), { once: true });
        });
    }

    /** Cuts the connection off, so that a caller never takes a part of an answer for the whole. */
    cutOff(): void {
        this.response.destroy();
    }

    /**
     * Sends a whole answer.
     * @param status - HTTP status.
     * @param contentType - Media type of the body.
     * @param body - The body.
     * @param headers - Further headers.
     */
    sendWhole(status: number, contentType: string, body: string | Buffer, headers: Record<string, string> = {}): void {
        this.assertNoFinalAnswer();
        const { response } = this;
        if (!response.destroyed) {
            const isUnread = hasUnreadBody(response.req);
            response.writeHead(status, {
                ...headers,
                ...this.createConnectionHeaders(isUnread),
                ...this.createLengthHeaders(status, body),
                "content-type": contentType,
            });
            this.endWhole(body, isUnread);
        }
        // Not before the head has been written: one that Node.js does not take leaves room for an error.
        this.isFinal = true;
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
            ...this.createConnectionHeaders(false),
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
        this.assertNoFinalAnswer();
        this.isFinal = true;
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

    /** A caller that still sends gets its whole answer at once, and the end when the rest of its body is dropped. */
    private endWhole(body: string | Buffer, isUnread: boolean): void {
        const { response } = this;
        if (!isUnread) {
            response.end(body);
            return;
        }
        response.write(body);
        void drainBody(response.req).then(() => response.end());
    }

    private createConnectionHeaders(isUnread: boolean): Record<string, string> {
        return isUnread || this.closesConnection() ? { connection: "close" } : {};
    }

    /** The length of a body that is not sent is not known here, and must not be given as 0 (RFC 9110, section 8.6). */
    private createLengthHeaders(status: number, body: string | Buffer): Record<string, number> {
        const length = Buffer.byteLength(body);
        const isWithoutBody = this.response.req.method === "HEAD" || bodilessStatuses.has(status);
        return isWithoutBody && length === 0 ? {} : { "content-length": length };
    }

    private assertNoFinalAnswer(): void {
        if (this.isFinal) {
            throw InvariantError.create("oneFinalAnswer", "A request was about to get a second final answer.");
        }
    }
}

function createRetryHeaders(error: RequestError): Record<string, string> {
    if (error.retryAfterMilliseconds === undefined) {
        return {};
    }
    const milliseconds = Math.ceil(error.retryAfterMilliseconds);
    return {
        "retry-after": String(Math.max(1, Math.ceil(milliseconds / millisecondsPerSecond))),
        "retry-after-ms": String(milliseconds),
    };
}
