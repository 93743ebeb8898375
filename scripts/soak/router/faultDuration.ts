/** Minimum and maximum duration of a fault, in milliseconds. */
export type FaultDuration = readonly [number, number];
