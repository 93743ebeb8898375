import type { SelectCandidates } from "../../src/request/chain/selectCandidates.ts";

/** Selects every usable holder. */
export const selectAll: SelectCandidates = (holders, isUsable) => [...holders.records.keys()].filter(isUsable);
