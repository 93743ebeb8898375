/** How an exchange with an endpoint failed. */
export const UpstreamFailureKind = {
    /** No connection came about, so no byte was sent. */
    NotSent: "notSent",
    /** The request, or a part of it, was sent and its answer is missing or incomplete. */
    Broken: "broken",
} as const;
export type UpstreamFailureKind = typeof UpstreamFailureKind[keyof typeof UpstreamFailureKind];
