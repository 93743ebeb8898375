/** The decision on a request that asks to be started. */
export type StartDecision<Place> =
    | { kind: "start"; place: Place; }
    | { kind: "wait"; expectedMilliseconds: number; }
    | { kind: "refuse"; cause: string; retryAfterMilliseconds: number; };
