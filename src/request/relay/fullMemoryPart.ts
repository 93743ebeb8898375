/** Fraction of used memory below which an endpoint doesn't refuse requests for lack of memory, but for another reason. */
export const fullMemoryPart = 0.6;
