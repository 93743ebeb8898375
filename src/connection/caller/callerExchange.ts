import type { IncomingMessage, ServerResponse } from "node:http";
import type { RequestError } from "../../request/requestError.ts";

/** A request of a caller whose response has not been sent completely. */
export interface CallerExchange {
    request: IncomingMessage;
    response: ServerResponse;
    controller: AbortController;
    /** Monotonic time of its arrival, in milliseconds. */
    arrivedAt: number;
    /** Size of the part of its body that is kept. */
    bodyBytes: number;
    /** Size of the part of its answer that was received or written before its turn on the connection. */
    answerBytes: number;
    /** Writes its whole response, which waits for its turn. */
    writeResponse: (() => void) | undefined;
    /** Called when the rest of the request can't be received or kept. */
    onBroken: ((error: RequestError) => void) | undefined;
}
