import type { IncomingHttpHeaders } from "node:http";
import type { AnswerHead } from "./answerHead.ts";
import type { EndpointProtocol } from "./endpointProtocol.ts";
import { EventSplitter } from "./eventSplitter.ts";
import type { StreamAnswerEnd } from "./streamAnswerEnd.ts";
import type { StreamEvent } from "./streamEvent.ts";

/** Options of a {@link StreamAnswerReader}. */
interface StreamAnswerReaderOptions {
    protocol: EndpointProtocol;
    requestId: string;
    /** Takes the head of an answer to the request. */
    onHead(head: AnswerHead): void;
    /** Takes each event of a success, in order. */
    onEvent(event: StreamEvent, head: AnswerHead): void;
    /** Called once where the answer comes to its end. */
    onEnd(end: StreamAnswerEnd): void;
}

const successStatus = 200;
const redirectStatus = 300;

/** Reads an endpoint's answer to a streamed request: its events, or what it is instead. */
export class StreamAnswerReader {
    private readonly options: StreamAnswerReaderOptions;
    private readonly splitter = EventSplitter.create();
    /** Body of an answer that is no stream of events. */
    private readonly chunks: Buffer[] = [];
    private head: AnswerHead | undefined;

    private constructor(options: StreamAnswerReaderOptions) {
        this.options = options;
    }

    /** Creates a reader of an answer whose head is still to come. */
    static create(options: StreamAnswerReaderOptions): StreamAnswerReader {
        return new StreamAnswerReader(options);
    }

    /** Takes the answer's head. */
    takeHead(status: number, headers: IncomingHttpHeaders): void {
        const { protocol, requestId, onHead, onEnd } = this.options;
        this.head = protocol.readHead(status, headers, requestId);
        if (!this.head.isForRequest) {
            onEnd({ kind: "foreign" });
            return;
        }
        onHead(this.head);
    }

    /** Takes bytes of the answer's body. */
    takeData(chunk: Buffer): void {
        const { head } = this;
        if (head === undefined) {
            return;
        }
        if (!isSuccess(head)) {
            this.chunks.push(chunk);
            return;
        }
        for (const event of this.splitter.push(chunk)) {
            this.options.onEvent(event, head);
        }
    }

    /** Takes that no more bytes follow. */
    takeEnd(): void {
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
            return this.splitter.hasRest() ? { kind: "cut" } : { kind: "whole", head };
        }
        // A success without a signature isn't the endpoint's own answer, and must not reach the caller as one.
        const answer = hasSuccessStatus(head) ? undefined : { head, body: Buffer.concat(this.chunks) };
        return { kind: "failed", head, answer };
    }
}

function isSuccess(head: AnswerHead): boolean {
    return hasSuccessStatus(head) && head.isSigned && !head.isNotRun;
}

function hasSuccessStatus({ status }: AnswerHead): boolean {
    return status >= successStatus && status < redirectStatus;
}
