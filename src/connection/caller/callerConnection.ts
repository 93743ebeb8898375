import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { HeldAmount } from "../../process/memory/heldAmount.ts";
import type { CallerExchange } from "./callerExchange.ts";
import { maximumHeaderBytes } from "./maximumHeaderBytes.ts";
import { memoryEstimates } from "./memoryEstimates.ts";
import { UnansweredReason } from "./unansweredReason.ts";
import { UnansweredRequests } from "./unansweredRequests.ts";
import type { WaitingRequest } from "./waitingRequest.ts";

/** One connection of a caller, with its requests. */
export class CallerConnection {
    readonly socket: Socket;
    /** Monotonic time at which it was opened, in milliseconds. */
    readonly openedAt: number;
    /** Requests that are handled and whose responses are not sent completely. */
    readonly exchanges = new Set<CallerExchange>();
    /** Requests behind them. */
    readonly waiting: WaitingRequest[] = [];
    /** Requests that were dropped. */
    readonly unanswered = UnansweredRequests.create();
    /** Whether a parse error or a timeout occurred, so that the connection closes after its pending responses. */
    isBroken = false;
    /** Whether an answer is being sent that closes the connection, so that later requests on it get none. */
    isEnding = false;
    /** Why the connection closes, as far as this side caused it. */
    reason: UnansweredReason = UnansweredReason.Closed;
    /** Whether the caller closed the connection while responses were pending. */
    hasCallerLeft = false;
    /** Monotonic time in milliseconds of the last response that was sent; undefined if there was no request. */
    private lastAnsweredAt: number | undefined;
    private latest: IncomingMessage | undefined;
    /** Bytes that were received up to the head of the latest request. */
    private bytesBefore = 0;

    private constructor(socket: Socket, openedAt: number) {
        this.socket = socket;
        this.openedAt = openedAt;
    }

    /** Creates a connection without requests. */
    static create(socket: Socket, openedAt: number): CallerConnection {
        return new CallerConnection(socket, openedAt);
    }

    /** Records that the head of a request was received. */
    noteRequest(request: IncomingMessage): void {
        this.latest = request;
    }

    /** Records that a response was sent. */
    noteAnswer(now: number): void {
        this.lastAnsweredAt = now;
        this.bytesBefore = this.socket.bytesRead;
    }

    /** Checks if no request was received after the given one. */
    isLatest(request: IncomingMessage): boolean {
        return this.latest === request;
    }

    /** Checks if no request on the connection is unanswered. */
    isIdle(): boolean {
        return this.exchanges.size === 0 && this.waiting.length === 0;
    }

    /** Gets the time since when the connection has been idle after a request, in milliseconds; undefined before its first request. */
    getIdleStart(): number | undefined {
        return this.lastAnsweredAt;
    }

    /** Finds the latest request, if its body is not received completely. */
    findIncomplete(): CallerExchange | undefined {
        if (this.waiting.length > 0) {
            return undefined;
        }
        for (const exchange of this.exchanges) {
            if (this.isLatest(exchange.request)) {
                return exchange.request.complete ? undefined : exchange;
            }
        }
        return undefined;
    }

    /** Measures what is held for the connection. */
    measure(): HeldAmount {
        if (this.isIdle()) {
            const headBytes = this.getHeadBytes();
            const heldSince = this.lastAnsweredAt ?? this.openedAt;
            return { bytes: memoryEstimates.connection + headBytes, releasableBytes: headBytes, heldSince };
        }
        const waiting = this.waiting.length * memoryEstimates.waitingRequest;
        let bytes = memoryEstimates.connection + waiting;
        let releasableBytes = waiting;
        let heldSince = this.waiting[0]?.arrivedAt ?? Infinity;
        for (const exchange of this.exchanges) {
            const { request, bodyBytes, arrivedAt } = exchange;
            const unsent = getUnsentBytes(exchange);
            bytes += memoryEstimates.exchange + bodyBytes + unsent;
            releasableBytes += unsent + (request.complete ? 0 : bodyBytes);
            heldSince = Math.min(heldSince, arrivedAt);
        }
        return { bytes, releasableBytes, heldSince };
    }

    /** Gets the size of a head that was received in part. */
    private getHeadBytes(): number {
        return Math.min(maximumHeaderBytes, this.socket.bytesRead - this.bytesBefore);
    }
}

/** Gets the size of what was written of an answer and was not taken by its caller. */
function getUnsentBytes({ response, answerBytes }: CallerExchange): number {
    return response.headersSent ? response.writableLength : answerBytes;
}
