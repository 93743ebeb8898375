import type { FaultDuration } from "./faultDuration.ts";

/** Durations of the faults. */
export const faultDurations = {
    minimal: [0, 300],
    short: [200, 2_000],
    long: [1_000, 6_000],
    extended: [7_000, 12_000],
} as const satisfies Record<string, FaultDuration>;
