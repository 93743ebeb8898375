import type { StartRefusal } from "./startRefusal.ts";

/** The decision on a request that asks to be started. */
export type StartDecision<Reservation> =
    | { kind: "start"; reservation: Reservation; }
    | { kind: "wait"; expectedMilliseconds: number; }
    | StartRefusal;
