/** Begins the names of the gates of models; the name of a service may hold a colon too, but not begin with this. */
export const modelGatePrefix = "model:";
