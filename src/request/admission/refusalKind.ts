/** Why a request was refused. For every kind, no byte of the request has reached an endpoint. */
export const RefusalKind = {
    /** The queue or the customer's part of it is full, or the request was evicted for a customer with less in the queue. */
    QueueFull: "queueFull",
    /** The request could not start within the maximum wait or end before its deadline. */
    WaitTooLong: "waitTooLong",
    /** The customer exceeds its rate limit or is not in the configuration. */
    RateLimited: "rateLimited",
    /** The node is shutting down. */
    Draining: "draining",
    /** The caller disconnected. */
    Cancelled: "cancelled",
} as const;

export type RefusalKind = (typeof RefusalKind)[keyof typeof RefusalKind];
