/** Returns a pseudo-random number in [0, 1). Tests pass a seeded one. */
export type RandomSource = () => number;
