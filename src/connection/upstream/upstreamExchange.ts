import type { PathState } from "./path/pathState.ts";

/** A request to an endpoint that is in progress, with its response. */
export interface UpstreamExchange {
    /** Aborts the exchange and closes its connection. The listener is not called any more. */
    abort(): void;
    /** Stops reading the response, so that its endpoint can't send more of it. The time bounds of the response go on. */
    pause(): void;
    /** Reads on after {@link pause}. The listener is not called before this has returned. */
    resume(): void;
    /**
     * Gets the monotonic time in milliseconds from which bytes of the request may have been sent, or undefined if none
     * were. An exchange that is aborted before this time is never sent.
     */
    getSentTime(): number | undefined;
    /** Gets the address of the peer that its connection goes through; undefined if it is direct. */
    getPeer(): string | undefined;
    /** Checks if the path of its connection is known not to work, and nothing was received since it failed. */
    isPathLost(): boolean;
    /**
     * Tests the path of its connection.
     * @param onDone - Called with the result. `Lost` means that the endpoint can be reached over another path.
     */
    testPath(onDone: (state: PathState) => void): void;
}
