/** The decision to refuse a request, with the delay after which its caller should retry. */
export interface StartRefusal {
    kind: "refuse";
    cause: string;
    retryAfterMilliseconds: number;
}
