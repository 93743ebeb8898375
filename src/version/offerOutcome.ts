import type { OfferOutcomeKind } from "./offerOutcomeKind.ts";

/** Answer of a follower to an offer; `T` is the accepted value and `F` what is wrong with a broken text. */
export type OfferOutcome<T, F> =
    | { kind: typeof OfferOutcomeKind.Accepted; value: T; }
    | { kind: typeof OfferOutcomeKind.NotNewer; }
    | { kind: typeof OfferOutcomeKind.Broken; faults: F; }
    | { kind: typeof OfferOutcomeKind.Conflict; currentEditId: string; }
    | { kind: typeof OfferOutcomeKind.InvalidVersion; };
