/** Key of the only customer of the configurations that tests and soaks write. */
export const callerKey = "key-of-one";
