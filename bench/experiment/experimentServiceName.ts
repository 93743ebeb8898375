/** Name of the only service of an experiment. */
export const experimentServiceName = "model";
