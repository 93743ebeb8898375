import type { IncomingHttpHeaders } from "node:http";
import type { BodyBounds } from "./bodyBounds.ts";
import type { UpstreamFailure } from "./upstreamFailure.ts";

/** Receives the events of an exchange. The last call is `onEnd`, `onFailure` or `onError`. */
export interface UpstreamListener {
    /**
     * Called immediately before the request is written, which may be long after it was passed to the pool. If it returns false,
     * nothing is written and the exchange fails as withheld.
     */
    maySend?(): boolean;
    /** Called with the status and the headers of the response. */
    onHead(status: number, headers: IncomingHttpHeaders): void;
    /** Gets the bounds of the response's body, once the head was passed on. Default: those of a body that is kept. */
    getBodyBounds?(): BodyBounds;
    onData(chunk: Buffer): void;
    /** Called when the response is complete. */
    onEnd(): void;
    onFailure(failure: UpstreamFailure): void;
    /** Called if the request could not be created or written because of an unexpected error. No byte of it was sent. */
    onError(error: unknown): void;
}
