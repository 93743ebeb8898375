import type { IncomingHttpHeaders } from "node:http";
import type { UpstreamFailure } from "./upstreamFailure.ts";

/** What becomes of an exchange. Exactly one of `onEnd` and `onFailure` is called, and it is the last call. */
export interface UpstreamListener {
    /** The head of the answer is here. */
    onHead(status: number, headers: IncomingHttpHeaders): void;
    onData(chunk: Buffer): void;
    /** The answer is complete. */
    onEnd(): void;
    onFailure(failure: UpstreamFailure): void;
}
