import type { IncomingMessage, ServerResponse } from "node:http";
import type { EndpointBehaviour } from "./endpointBehaviour.ts";
import type { EndpointSilence } from "./endpointSilence.ts";
import type { RunRecord } from "./runRecord.ts";

/** Options of {@link EndpointAnswers}. */
interface EndpointAnswersOptions {
    /** Id of the endpoint, which its answers contain. */
    id: string;
    /** Number of events per stream. */
    events: number;
    /** Interval between two events, in milliseconds. */
    eventMilliseconds: number;
    silence: EndpointSilence;
    /** Gets how the endpoint answers at the moment. */
    getBehaviour(): EndpointBehaviour;
    /** Gets the address of the failed stage to report for stalled streams. */
    getStalledAddress(): string;
    /** Called when a stalled stream continues, so that it does not stall again. */
    onResumed(): void;
}

const resetDelayMilliseconds = 20;

/** Sends the answers and streams of an endpoint stand-in, with the faults of its behaviour. */
export class EndpointAnswers {
    /** Requests whose stream waits for another chain: the address of the failed stage by request ID. */
    readonly stalled = new Map<string, string>();
    private readonly options: EndpointAnswersOptions;
    private readonly resumeCallbacks = new Map<string, () => void>();

    private constructor(options: EndpointAnswersOptions) {
        this.options = options;
    }

    /** Creates an instance without streams. */
    static create(options: EndpointAnswersOptions): EndpointAnswers {
        return new EndpointAnswers(options);
    }

    /** Gets a function that continues a stalled stream, which then counts as stalled no more; undefined if there is none. */
    takeStalled(requestId: string): (() => void) | undefined {
        this.stalled.delete(requestId);
        return this.resumeCallbacks.get(requestId);
    }

    /** Answers a request that has run. */
    send(request: IncomingMessage, response: ServerResponse, { id, headers }: RunRecord): void {
        const behaviour = this.options.getBehaviour();
        if (behaviour.losesAnswer === true) {
            request.socket.resetAndDestroy();
            return;
        }
        const lastEventId = Number(headers["last-event-id"] ?? 0);
        const rawAnswer = behaviour.createRawAnswer?.(id, lastEventId);
        if (rawAnswer !== undefined) {
            request.socket.write(rawAnswer);
            return;
        }
        const answeredId = behaviour.answersWrongRequest === true ? "another" : id;
        const signature = behaviour.isUnsigned === true ? {} : { "response-seal": `seal-${this.options.id}` };
        const { requestsPerSecond: rate } = behaviour;
        const limit = rate === undefined ? {} : { "server-limit": String(rate) };
        const head = { "request-id": answeredId, ...signature, ...limit };
        if (behaviour.resetsUnframed === true) {
            request.socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nresponse-seal: s\r\n\r\nhalf`);
            setTimeout(() => request.socket.resetAndDestroy(), 30);
            return;
        }
        if (behaviour.unframedEnd !== undefined) {
            omitFraming(response);
        }
        if (headers["hop-count"] !== undefined) {
            response.writeHead(200, { ...head, "content-type": "text/event-stream" });
            this.streamFrom(lastEventId + 1, id, response);
            return;
        }
        const status = behaviour.failureStatus ?? 200;
        const answer = `answer of ${this.options.id}`;
        if (behaviour.unframedEnd !== undefined) {
            response.writeHead(status, head).write(answer);
            this.endUnframed(response);
            return;
        }
        response.writeHead(status, { ...head, "content-length": answer.length }).end(answer);
        if (behaviour.sendsExtra === true) {
            request.socket.write(`HTTP/1.1 200 OK\r\nrequest-id: extra\r\ncontent-length: 5\r\n\r\nextra`);
        }
    }

    private streamFrom(event: number, id: string, response: ServerResponse): void {
        const { events, eventMilliseconds, silence } = this.options;
        const behaviour = this.options.getBehaviour();
        if (response.destroyed || this.sendForeignBytes(event, response)) {
            return;
        }
        const silentMilliseconds = silence.getRemaining();
        if (silentMilliseconds > 0) {
            setTimeout(() => this.streamFrom(event, id, response), silentMilliseconds);
            return;
        }
        if (behaviour.breaksOff?.(id, event - 1) === true) {
            // The bytes before a reset would be lost if it followed at once.
            setTimeout(() => response.socket?.resetAndDestroy(), eventMilliseconds);
            return;
        }
        if (event > events) {
            if (behaviour.unframedEnd !== undefined) {
                this.endUnframed(response);
                return;
            }
            response.end();
            return;
        }
        if (behaviour.cutsAfterEvent !== undefined && event === behaviour.cutsAfterEvent + 1) {
            response.write(`id: ${event}\nda`);
            setTimeout(() => this.cut(response), eventMilliseconds);
            return;
        }
        if (behaviour.stallsAfterEvent !== undefined && event === behaviour.stallsAfterEvent + 1) {
            this.stall(event, id, response);
            return;
        }
        response.write(`id: ${event}\ndata: ${this.options.id}\n\n`);
        setTimeout(() => this.streamFrom(event + 1, id, response), eventMilliseconds * (behaviour.slowness ?? 1));
    }

    /** Sends bytes that are no event before an event, if the behaviour says so. Returns whether the answer ends there. */
    private sendForeignBytes(event: number, response: ServerResponse): boolean {
        const { foreignBytes } = this.options.getBehaviour();
        if (foreignBytes?.afterEvent !== event - 1) {
            return false;
        }
        response.write(foreignBytes.bytes, "latin1");
        if (!foreignBytes.continues) {
            response.end();
        }
        return !foreignBytes.continues;
    }

    /** Ends a response with neither a length nor chunks after its last byte, or in the middle of an event. */
    private endUnframed(response: ServerResponse): void {
        if (this.options.getBehaviour().unframedEnd === "close") {
            response.end();
            return;
        }
        // The bytes before a reset would be lost if it followed at once.
        setTimeout(() => response.socket?.resetAndDestroy(), resetDelayMilliseconds);
    }

    private cut(response: ServerResponse): void {
        if (this.options.getBehaviour().unframedEnd === undefined) {
            response.destroy();
            return;
        }
        this.endUnframed(response);
    }

    /** Holds a stream before an event until an order moves it to another chain, or until the stage that it waits for continues. */
    private stall(event: number, id: string, response: ServerResponse): void {
        const { stallMilliseconds } = this.options.getBehaviour();
        const resume = () => {
            this.stalled.delete(id);
            this.resumeCallbacks.delete(id);
            this.options.onResumed();
            this.streamFrom(event, id, response);
        };
        this.stalled.set(id, this.options.getStalledAddress());
        this.resumeCallbacks.set(id, resume);
        if (stallMilliseconds !== undefined) {
            setTimeout(() => {
                if (this.resumeCallbacks.get(id) === resume) {
                    resume();
                }
            }, stallMilliseconds);
        }
    }
}

/** Makes the end of the connection the end of a response. */
function omitFraming(response: ServerResponse): void {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
    for (const name of ["content-length", "transfer-encoding", "connection"]) {
        response.removeHeader(name);
    }
}
