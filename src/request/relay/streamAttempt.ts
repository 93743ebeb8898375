import type { UpstreamExchange } from "../../connection/upstream/upstreamExchange.ts";
import type { LoadReservation } from "./loadReservation.ts";
import type { RelayStage } from "./relayStage.ts";

/** One run of a streamed request on one chain. */
export interface StreamAttempt {
    stages: RelayStage[];
    /** Monotonic time of its sending, in milliseconds. */
    sentAt: number;
    reservation: LoadReservation;
    exchange: UpstreamExchange | undefined;
    /** Monotonic time of the last sign of life, in milliseconds; for the search of stalled chains. */
    lastProgressAt: number;
    /** Monotonic time of the first event of this run, in milliseconds; undefined before it. */
    firstEventAt: number | undefined;
}
