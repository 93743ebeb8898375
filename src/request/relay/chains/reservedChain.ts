import type { LoadReservation } from "../endpoints/loadReservation.ts";
import type { RelayStage } from "./relayStage.ts";

/** A chain with capacity reserved for a request. */
export interface ReservedChain {
    stages: RelayStage[];
    reservation: LoadReservation;
}
