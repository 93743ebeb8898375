/** Why a request was refused. In every case no byte of it has reached an endpoint. */
export const RefusalKind = {
    /** As many requests wait as the limits allow, or a customer further under its share took the place. */
    QueueFull: "queueFull",
    /** The request could not start, or could not end, within its time. */
    WaitTooLong: "waitTooLong",
    /** The customer is over its requests a second, or is not in the configuration. */
    RateLimited: "rateLimited",
    /** The node is shutting down. */
    Draining: "draining",
    /** The caller went away. */
    Cancelled: "cancelled",
} as const;

export type RefusalKind = (typeof RefusalKind)[keyof typeof RefusalKind];
