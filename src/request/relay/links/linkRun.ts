/** A run of a request over links between data centres; there may be none. */
export interface LinkRun {
    /** Records an event of the run. */
    noteEvent(now: number): void;
    /** Records that the run waits for an endpoint, not for a link. */
    noteOtherCause(): void;
    /** Checks if the run may be queued at a link. */
    isQueued(): boolean;
    /** Records that its chain is no longer used. Further calls have no effect. */
    end(): void;
    /** Takes back that the request was sent over the links, after it was not run there. Must be called at most once. */
    refund(): void;
}
