/** What a probe of an engine showed; `refused` where the machine lives and nothing listens there. */
export type ProbeOutcome = "answering" | "refused" | "silent";
