/** Fraction of used memory below which an endpoint doesn't refuse requests for lack of memory, but for another reason. */
export const fullMemoryFraction = 0.6;
