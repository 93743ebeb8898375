import type { ServerResponse } from "node:http";
import { InvariantError } from "../../process/invariantError.ts";
import type { RequestError } from "../../request/requestError.ts";
import { createErrorBody } from "./createErrorBody.ts";
import { endAfterBody } from "./endAfterBody.ts";
import { hasUnreadBody } from "./hasUnreadBody.ts";
import { isSentAtOnce } from "./isSentAtOnce.ts";

const millisecondsPerSecond = 1000;
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/**
 * Writes the final answer of a request to its caller, as one response or as server-sent events. While the connection
 * applies backpressure, text is buffered and then sent as one event, so that a slow caller needs no more memory than
 * the text of the answer.
 */
export class AnswerWriter {
    private readonly response: ServerResponse;
    private readonly closesConnection: () => boolean;
    private readonly onClosing: () => void;
    private isFinished = false;
    private isBlocked = false;
    private pendingText = "";
    private createTextEvent: (text: string) => string = text => text;

    private constructor(response: ServerResponse, closesConnection: () => boolean, onClosing: () => void) {
        this.response = response;
        this.closesConnection = closesConnection;
        this.onClosing = onClosing;
    }

    /**
     * Creates the writer of one request.
     * @param response - The caller's response.
     * @param closesConnection - Checks if the connection should close after the answer, if that is whole and sent at once.
     * @param onClosing - Called before an answer is written that announces the close.
     */
    static create(
        response: ServerResponse,
        closesConnection: () => boolean = () => false,
        onClosing: () => void = () => undefined,
    ): AnswerWriter {
        const writer = new AnswerWriter(response, closesConnection, onClosing);
        response.on("drain", () => writer.flush());
        return writer;
    }

    /** Checks if the headers have been sent, so that an error can only be reported inside the stream. */
    isStreaming(): boolean {
        return this.response.headersSent;
    }

    /** Checks if the final answer has been written. */
    hasFinalAnswer(): boolean {
        return this.isFinished;
    }

    /** @throws InvariantError if the request has no final answer. */
    assertFinalAnswer(): void {
        if (!this.isFinished) {
            throw InvariantError.create("oneFinalAnswer", "A request would have ended without a final answer.");
        }
    }

    /**
     * Waits until the response is sent or its connection is closed.
     * @param signal - Ends the wait.
     */
    async waitUntilSent(signal: AbortSignal): Promise<void> {
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

    /** Destroys the connection, so that the caller can't mistake a partial answer for a complete one. */
    abort(): void {
        this.response.destroy();
    }

    /**
     * Sends the final answer as one response.
     * @param status - HTTP status.
     * @param contentType - Media type of the body.
     * @param body - The body.
     * @param headers - Additional headers.
     */
    sendResponse(
        status: number,
        contentType: string,
        body: string | Buffer,
        headers: Record<string, string> = {},
    ): void {
        this.assertNoFinalAnswer();
        const { response } = this;
        if (!response.destroyed) {
            const isBodyUnread = hasUnreadBody(response.req);
            response.writeHead(status, {
                ...headers,
                ...this.createConnectionHeaders(isBodyUnread, Buffer.byteLength(body)),
                ...this.createLengthHeaders(status, body),
                "content-type": contentType,
            });
            endAfterBody(response, body);
        }
        // Set last: if Node.js rejects the status or the headers, an error can still be sent.
        this.isFinished = true;
    }

    /**
     * Starts a stream of server-sent events. Its head never announces the close of the connection, since requests that cross it would get
     * no answer when the stream ends.
     * @param headers - Additional headers.
     * @param createTextEvent - Creates the data of an event from text.
     */
    startStream(headers: Record<string, string>, createTextEvent: (text: string) => string): void {
        this.createTextEvent = createTextEvent;
        this.response.writeHead(200, {
            ...headers,
            "content-type": "text/event-stream; charset=utf-8",
            "cache-control": "no-cache",
        });
    }

    /** Sends text as an event, or buffers it while the connection applies backpressure. */
    writeText(text: string): void {
        this.pendingText += text;
        if (!this.isBlocked) {
            this.flush();
        }
    }

    /**
     * Ends a stream.
     * @param lastEvents - Data of the last events.
     */
    endStream(lastEvents: readonly string[]): void {
        this.assertNoFinalAnswer();
        this.isFinished = true;
        this.flush();
        for (const data of lastEvents) {
            this.writeEvent(data);
        }
        this.response.end();
    }

    /** Sends an error as the final answer, or as the last event if the stream has started. */
    sendError(error: RequestError, headers: Record<string, string> = {}): void {
        const body = JSON.stringify(createErrorBody(error));
        if (this.isStreaming()) {
            this.endStream([body]);
            return;
        }
        this.sendResponse(error.status, "application/json", body, { ...headers, ...createRetryHeaders(error) });
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

    private createConnectionHeaders(isBodyUnread: boolean, bytes: number): Record<string, string> {
        if (!isBodyUnread && !(isSentAtOnce(bytes) && this.closesConnection())) {
            return {};
        }
        this.onClosing();
        return { connection: "close" };
    }

    /**
     * Omits the length of a body that is not sent: it is unknown here and must not be stated as 0
     * (RFC 9110, section 8.6).
     */
    private createLengthHeaders(status: number, body: string | Buffer): Record<string, number> {
        const length = Buffer.byteLength(body);
        const isBodyOmitted = this.response.req.method === "HEAD" || bodilessStatuses.has(status);
        return isBodyOmitted && length === 0 ? {} : { "content-length": length };
    }

    private assertNoFinalAnswer(): void {
        if (this.isFinished) {
            throw InvariantError.create("oneFinalAnswer", "A request would have received a second final answer.");
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
