/** An event of a stream, as the endpoint sent it. */
export interface StreamEvent {
    /** Bytes of the event, including the empty line that terminates it. */
    bytes: Buffer;
    /** Undefined if the event has no id. */
    id: number | undefined;
}
