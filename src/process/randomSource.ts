/** Returns a pseudo-random number in [0, 1). Seeded in tests; a function so that it can be replaced. */
export type RandomSource = () => number;
