/** Prefix of the gate names of models. Service names don't start with a slash, so there are no collisions. */
export const modelGatePrefix = "/model/";
