import { type ServerResponse, validateHeaderName, validateHeaderValue } from "node:http";
import type { Socket } from "node:net";
import { ProcessorAccount } from "../../process/loop/processorAccount.ts";
import { ProcessorCause } from "../../process/loop/processorCause.ts";
import type { AnswerHead } from "../../request/relay/answers/answerHead.ts";
import type { AnswerSink } from "../../request/relay/answers/answerSink.ts";
import { createRefusal } from "../../request/relay/answers/createRefusal.ts";
import type { RelayRefusal } from "../../request/relay/answers/relayRefusal.ts";
import { endAfterBody } from "./endAfterBody.ts";
import { frameChunk } from "./frameChunk.ts";

/** Options of a {@link ResponseSink}. */
interface ResponseSinkOptions {
    response: ServerResponse;
    /** Aborted when the caller disconnects before the response is complete. */
    disconnected: AbortSignal;
    /** Translates a refusal. */
    encodeRefusal(refusal: RelayRefusal): { status: number; headers: string[]; body: string; };
    /**
     * Writes an answer that is whole, now or when its turn on the connection comes.
     * @param write - Writes it. `isLast` says if it closes the connection.
     * @param bytes - Size of its body.
     */
    writeWhole(write: (isLast: boolean) => void, bytes: number): void;
    /** Called when a part of the body is held until the caller takes it. */
    onHeld?(bytes: number): void;
    /** Called before the response is aborted, which closes the connection. */
    onAborting?(): void;
}

const account = ProcessorAccount.ofProcess;
/** What a stream may hold before its turn on the connection without being paused, in bytes: as much as a socket does. */
const maximumEarlyBytes = 64 * 1024;

/** Writes an answer to an HTTP response, in its turn on the connection. */
export class ResponseSink implements AnswerSink {
    private readonly options: ResponseSinkOptions;
    private readonly response: ServerResponse;
    private corkedSocket: Socket | undefined;
    /** What was written of a stream before its turn on the connection. */
    private early: { head: AnswerHead; chunks: Buffer[]; bytes: number; } | undefined;
    /** The head and the body of an answer whose end follows at once. */
    private whole: { head: AnswerHead; chunks: Buffer[]; } | undefined;
    private drainCallback: (() => void) | undefined;
    private isDrainAwaited = false;

    private constructor(options: ResponseSinkOptions) {
        this.options = options;
        this.response = options.response;
    }

    /** Creates a sink. */
    static create(options: ResponseSinkOptions): ResponseSink {
        return new ResponseSink(options);
    }

    /** Registers a callback for when the caller disconnects before its answer has ended. */
    onClosed(callback: () => void): void {
        this.options.disconnected.addEventListener("abort", callback, { once: true });
    }

    /** Starts the answer. Before its turn on the connection, throws if it can't carry the headers. */
    writeHead(head: AnswerHead, isWhole = false): void {
        if (isWhole) {
            this.whole = { head, chunks: [] };
            return;
        }
        if (this.response.socket === null) {
            validateHeaders(head.headers);
            this.early = { head, chunks: [], bytes: 0 };
            this.response.once("socket", () => {
                this.writeEarly();
                this.reportDrain();
            });
            return;
        }
        this.sendHead(head.status, head.headers);
    }

    /** Writes a chunk of the body. */
    write(chunk: Buffer): void {
        this.options.onHeld?.(chunk.length);
        if (this.whole !== undefined) {
            this.whole.chunks.push(chunk);
            return;
        }
        if (this.early !== undefined) {
            this.early.chunks.push(chunk);
            this.early.bytes += chunk.length;
            return;
        }
        this.cork();
        this.sendChunk(chunk);
    }

    /** Checks if so much waits for the caller, or for the answer's turn on the connection, that no more should be read. */
    needsDrain(): boolean {
        if (this.early !== undefined) {
            return this.early.bytes >= maximumEarlyBytes;
        }
        return this.response.socket?.writableNeedDrain === true;
    }

    /** Sets the callback for when the caller has taken what waited. */
    onDrain(callback: () => void): void {
        this.drainCallback = callback;
    }

    /** Notes that a part of the answer is kept until it is written as a whole. */
    noteKept(bytes: number): void {
        this.options.onHeld?.(bytes);
    }

    /** Ends the answer as complete. */
    end(): void {
        if (this.whole !== undefined) {
            this.sendWhole(this.whole);
            return;
        }
        this.writeEarly();
        this.cork();
        this.response.end();
    }

    /** Answers with a refusal. */
    refuse(refusal: RelayRefusal): void {
        if (!account.reassign(ProcessorCause.StreamHead, ProcessorCause.Refusal)) {
            account.count(ProcessorCause.Refusal);
        }
        account.runPart(ProcessorCause.Refusal, () => this.sendRefusal(refusal));
    }

    /** Aborts the answer, or refuses if no byte of it was sent: those behind it on the connection are kept then. */
    abort(): void {
        const { disconnected, onAborting } = this.options;
        if (!this.response.headersSent && !disconnected.aborted) {
            this.early = undefined;
            this.sendRefusal(createRefusal.outcomeUnknown("its answer broke off."));
            return;
        }
        // The destruction would discard what is still corked.
        this.uncork();
        onAborting?.();
        this.response.destroy();
    }

    private sendRefusal(refusal: RelayRefusal): void {
        const { status, headers, body } = this.options.encodeRefusal(refusal);
        const write = (isLast: boolean) => {
            this.response.writeHead(status, isLast ? [...headers, "Connection", "close"] : headers);
            endAfterBody(this.response, body);
        };
        this.options.writeWhole(write, body.length);
    }

    private sendWhole({ head: { status, headers }, chunks }: { head: AnswerHead; chunks: readonly Buffer[]; }): void {
        // The answer may be written later, where an error would not be limited to its own request.
        validateHeaders(headers);
        const write = (isLast: boolean) => {
            this.sendHead(status, isLast ? [...headers, "Connection", "close"] : headers);
            for (const chunk of chunks) {
                this.sendChunk(chunk);
            }
            this.response.end();
        };
        this.options.writeWhole(write, chunks.reduce((sum, { length }) => sum + length, 0));
    }

    private reportDrain(): void {
        if (!this.needsDrain()) {
            this.drainCallback?.();
        }
    }

    private writeEarly(): void {
        if (this.early === undefined) {
            return;
        }
        const { head, chunks } = this.early;
        this.early = undefined;
        this.sendHead(head.status, head.headers);
        for (const chunk of chunks) {
            this.sendChunk(chunk);
        }
    }

    private sendHead(status: number, headers: readonly string[]): void {
        this.cork();
        this.response.writeHead(status, [...headers]);
        this.response.flushHeaders();
    }

    /**
     * Writes a chunk of the body directly to the socket. Node.js would write it as four buffers on a later turn of the event loop, which
     * is a large part of the cost of a streamed event. A pipelined response that is not yet first on its connection has no socket and goes
     * through Node.js.
     */
    private sendChunk(chunk: Buffer): void {
        const { response } = this;
        const { socket } = response;
        if (socket === null || !response.chunkedEncoding || socket.destroyed || chunk.length === 0) {
            response.write(chunk);
        }
        else {
            socket.write(frameChunk(chunk));
        }
        this.awaitDrain();
    }

    private awaitDrain(): void {
        const { socket } = this.response;
        if (this.drainCallback === undefined || this.isDrainAwaited || socket?.writableNeedDrain !== true) {
            return;
        }
        this.isDrainAwaited = true;
        socket.once("drain", () => {
            this.isDrainAwaited = false;
            this.reportDrain();
        });
    }

    /** Has all events that arrive in one turn of the event loop go out in one write. A late node reads several of a stream at once. */
    private cork(): void {
        const { socket } = this.response;
        if (this.corkedSocket === undefined && socket !== null) {
            this.corkedSocket = socket;
            socket.cork();
            queueMicrotask(() => this.uncork());
        }
    }

    private uncork(): void {
        this.corkedSocket?.uncork();
        this.corkedSocket = undefined;
    }
}

/** Throws if an answer can't carry headers. */
function validateHeaders(headers: readonly string[]): void {
    for (let index = 0; index + 1 < headers.length; index += 2) {
        validateHeaderName(headers[index]!);
        validateHeaderValue(headers[index]!, headers[index + 1]!);
    }
}
