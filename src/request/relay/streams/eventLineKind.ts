/** Kinds of lines of an event stream. */
export const EventLineKind = {
    /** Ends an event, or stands between two of them. */
    Empty: "empty",
    /** Keeps a connection open. */
    Comment: "comment",
    /** A field of an event: a name in lower case, alone or followed by a colon and a value. */
    Field: "field",
    /** No line that an event stream has. */
    Invalid: "invalid",
} as const;
export type EventLineKind = typeof EventLineKind[keyof typeof EventLineKind];
