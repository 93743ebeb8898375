/** Time after a connection broke within which a restart of its endpoint, or a refused connection to it, proves that the endpoint crashed then. */
export const proofMilliseconds = 2_000;
