/** Begins the names of the gates of models. No service's name begins with a slash, so the names cannot clash. */
export const modelGatePrefix = "/model/";
