/** Time after a connection broke within which a restart or the loss of its endpoint proves that the endpoint crashed then. */
export const proofMilliseconds = 2_000;
