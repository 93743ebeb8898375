/** Names of the headers that carry instructions in answers of the endpoints of `foxlead node`, in lower case. */
export const instructionHeaderNames = {
    leaving: "server-leaving",
    retryAfter: "retry-after",
} as const;
