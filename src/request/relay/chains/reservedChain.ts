import type { ChainReservation } from "./chainReservation.ts";
import type { RelayStage } from "./relayStage.ts";

/** A chain with capacity reserved for a request. */
export interface ReservedChain {
    stages: RelayStage[];
    reservation: ChainReservation;
    /** Whether a retry was taken from the retry budget for it. */
    isRetry: boolean;
}
