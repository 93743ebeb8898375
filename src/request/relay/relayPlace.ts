import type { LoadReservation } from "./loadReservation.ts";
import type { RelayStage } from "./relayStage.ts";

/** A chain in which room was taken for a request. */
export interface RelayPlace {
    stages: RelayStage[];
    reservation: LoadReservation;
}
