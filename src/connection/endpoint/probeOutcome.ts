/** Outcome of a probe of an engine. `refused` means that the machine is up, but nothing listens on the port. */
export type ProbeOutcome = "answering" | "refused" | "silent";
