/** API key of the only customer in the configurations of tests and soak runs. */
export const callerKey = "key-of-one";
