import type { UpstreamExchange } from "../../../connection/upstream/upstreamExchange.ts";
import type { ChainReservation } from "../chains/chainReservation.ts";
import type { RelayStage } from "../chains/relayStage.ts";
import type { PossibleRun } from "../possibleRun.ts";

/** An attempt to run a streamed request on a chain. */
export interface StreamAttempt {
    stages: RelayStage[];
    /** The run of its first stage, which stays the same when the stream is moved to other later stages. */
    run: PossibleRun;
    /** Monotonic time at which it was sent, in milliseconds. */
    sentAt: number;
    reservation: ChainReservation;
    /** Whether a retry was taken from the retry budget for it. */
    isRetry: boolean;
    exchange: UpstreamExchange | undefined;
    /** Monotonic time of the last progress, in milliseconds. Used to detect stalled chains. */
    lastProgressAt: number;
    /** Monotonic time of the first event of this attempt, in milliseconds; undefined before the first event. */
    firstEventAt: number | undefined;
    /** Whether its answer is not read, because the caller takes the stream more slowly than it comes. */
    isPaused: boolean;
}
