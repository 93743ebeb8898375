/** One event of a stream, as the endpoint sent it. */
export interface StreamEvent {
    /** The event's bytes with the empty line that ends it. */
    bytes: Buffer;
    /** Undefined where the event has no id. */
    id: number | undefined;
}
