/** The decision on a request that asks to be started. */
export type StartDecision<Reservation> =
    | { kind: "start"; reservation: Reservation; }
    | { kind: "wait"; expectedMilliseconds: number; }
    | { kind: "refuse"; cause: string; retryAfterMilliseconds: number; };
