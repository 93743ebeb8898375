import { callKinds } from "./callKind.ts";

/** Ranks of the kinds of model requests; 0 goes first. Document requests all have one rank. */
export const modelRanks: Readonly<Record<string, number>> = {
    [callKinds.model]: 0,
    [callKinds.once]: 1,
    [callKinds.last]: 2,
};
