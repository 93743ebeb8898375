/** Fraction of its demand that each rank gets in any case. */
export const rankFloorFraction = 0.05;
