import type { IncomingHttpHeaders } from "node:http";
import type { BodyBounds } from "../../../connection/upstream/bodyBounds.ts";
import { bodyBoundsOfUse } from "../../../connection/upstream/bodyBoundsOfUse.ts";
import { endsWithConnection } from "../../../connection/upstream/endsWithConnection.ts";
import type { AnswerHead } from "../answers/answerHead.ts";
import type { EndpointProtocol } from "../endpointProtocol.ts";
import { EventSplitter } from "./eventSplitter.ts";
import type { StreamAnswerEnd } from "./streamAnswerEnd.ts";
import type { StreamEvent } from "./streamEvent.ts";

/** Options of a {@link StreamAnswerReader}. */
interface StreamAnswerReaderOptions {
    protocol: EndpointProtocol;
    requestId: string;
    /** Checks if the answer may be whole without any event, since the caller may have received all of them. */
    mayBeEmpty(): boolean;
    /** Called with the head of an answer to the request. */
    onHead(head: AnswerHead): void;
    /** Called with each event of a successful answer, in order. */
    onEvent(event: StreamEvent, head: AnswerHead): void;
    /** Called once when the answer ends. */
    onEnd(end: StreamAnswerEnd): void;
}

/** Maximum size of an event, and of the comments between two events. Events hold a few tokens, comments keep connections open. */
const maximumEventBytes = 256 * 1024;
const firstSuccessStatus = 200;
const firstRedirectStatus = 300;

/** Parses an endpoint's answer to a streamed request, which is a stream of events, a refusal or a failure. */
export class StreamAnswerReader {
    private readonly options: StreamAnswerReaderOptions;
    private readonly splitter = EventSplitter.create();
    /** Body of an answer that is not an event stream. */
    private readonly chunks: Buffer[] = [];
    private head: AnswerHead | undefined;
    private isEndedByConnection = false;
    private hasEvents = false;
    /** Size of the comments since the last event, in bytes. */
    private commentBytes = 0;

    private constructor(options: StreamAnswerReaderOptions) {
        this.options = options;
    }

    /** Creates a reader for an answer whose head has not arrived yet. */
    static create(options: StreamAnswerReaderOptions): StreamAnswerReader {
        return new StreamAnswerReader(options);
    }

    /** Handles the answer's head. */
    handleHead(status: number, headers: IncomingHttpHeaders): void {
        const { protocol, requestId, onHead, onEnd } = this.options;
        this.head = protocol.readHead(status, headers, requestId);
        this.isEndedByConnection = endsWithConnection(status, headers);
        if (!this.head.isForRequest) {
            onEnd({ kind: "foreign" });
            return;
        }
        onHead(this.head);
    }

    /** Gets the bounds of the answer's body: only the events of a success are passed on as they arrive. */
    getBodyBounds(): BodyBounds {
        return this.head !== undefined && isSuccess(this.head) ? bodyBoundsOfUse.streamed : bodyBoundsOfUse.failure;
    }

    /** Checks if the head of the answer says that the endpoint has not run the request. */
    hasRefusal(): boolean {
        return this.head?.isNotRun === true;
    }

    /** Handles bytes of the answer's body. */
    handleData(chunk: Buffer): void {
        const { head } = this;
        if (head === undefined) {
            return;
        }
        if (!isSuccess(head)) {
            this.chunks.push(chunk);
            return;
        }
        for (const event of this.splitter.push(chunk)) {
            this.hasEvents = true;
            this.commentBytes = event.id === undefined ? this.commentBytes + event.bytes.length : 0;
            this.options.onEvent(event, head);
        }
        if (this.splitter.isInvalid()) {
            this.options.onEnd({ kind: "invalid" });
            return;
        }
        if (Math.max(this.splitter.getIncompleteBytes(), this.commentBytes) > maximumEventBytes) {
            this.options.onEnd({ kind: "oversized", maximumBytes: maximumEventBytes });
        }
    }

    /** Handles the end of the answer's body. */
    handleEnd(): void {
        const { head } = this;
        if (head !== undefined) {
            this.options.onEnd(this.createEnd(head));
        }
    }

    private createEnd(head: AnswerHead): StreamAnswerEnd {
        if (head.isNotRun) {
            return { kind: "refused", head };
        }
        if (isSuccess(head)) {
            return this.isCut()
                ? { kind: "cut", isConnectionClosed: this.isEndedByConnection }
                : { kind: "whole", head };
        }
        // A success without a signature is not the endpoint's own answer and must not be forwarded to the caller.
        const answer = hasSuccessStatus(head) ? undefined : { head, body: Buffer.concat(this.chunks) };
        return { kind: "failed", head, answer };
    }

    private isCut(): boolean {
        const isWithoutEvents = this.isEndedByConnection && !this.hasEvents && !this.options.mayBeEmpty();
        return isWithoutEvents || this.splitter.hasIncompleteEvent();
    }
}

function isSuccess(head: AnswerHead): boolean {
    return hasSuccessStatus(head) && head.isSigned && !head.isNotRun;
}

function hasSuccessStatus({ status }: AnswerHead): boolean {
    return status >= firstSuccessStatus && status < firstRedirectStatus;
}
