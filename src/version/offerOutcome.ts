import type { OfferOutcomeKind } from "./offerOutcomeKind.ts";

/** Result of an offer to a follower. `T` is the type of the value, `F` that of the errors of an invalid text. */
export type OfferOutcome<T, F> =
    | { kind: typeof OfferOutcomeKind.Accepted; value: T; }
    | { kind: typeof OfferOutcomeKind.NotNewer; }
    | { kind: typeof OfferOutcomeKind.Broken; faults: F; }
    | { kind: typeof OfferOutcomeKind.Conflict; currentEditId: string; }
    | { kind: typeof OfferOutcomeKind.InvalidVersion; };
