import type { SelectCandidates } from "./selectCandidates.ts";

/** Selects every usable holder. */
export const selectAll: SelectCandidates = (_holders, usable) => usable;
