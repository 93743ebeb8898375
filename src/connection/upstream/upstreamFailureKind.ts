/** Kinds of failure of an exchange with an endpoint. */
export const UpstreamFailureKind = {
    /** The listener disallowed the request immediately before it was written, so no byte was sent. */
    Withheld: "withheld",
    /** No connection was established, so no byte was sent. */
    NotSent: "notSent",
    /** At least part of the request may have been sent, and the response is missing or incomplete. */
    Broken: "broken",
    /** The request was sent, and bytes came that are no response or exceed the bounds of one. The connection was closed for it. */
    Invalid: "invalid",
} as const;
export type UpstreamFailureKind = typeof UpstreamFailureKind[keyof typeof UpstreamFailureKind];
