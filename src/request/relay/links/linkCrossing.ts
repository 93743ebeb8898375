/** A stream that was sent over links between data centres. */
export interface LinkCrossing {
    /** Records an event of the stream. */
    noteEvent(now: number): void;
    /** Records that the stream waits for an endpoint, so that it doesn't count as waiting for a link. */
    noteOtherCause(): void;
    /** Checks if the stream has no event yet and may be queued at a link, since none that was sent over it later has one. */
    isQueued(): boolean;
    /** Records that the stream has ended or uses another chain. Further calls have no effect. */
    end(now: number): void;
}
