/** An event of a stream, or comments between two events, as the endpoint sent them. */
export interface StreamEvent {
    /** Bytes of the event, including the empty line that terminates it. */
    bytes: Buffer;
    /** Undefined for comments. */
    id: number | undefined;
}
