import type { UpstreamExchange } from "../../connection/upstream/upstreamConnection.ts";
import type { AnswerHead } from "./answerHead.ts";
import type { LoadReservation } from "./endpointLoads.ts";
import type { EventSplitter } from "./eventSplitter.ts";
import type { RelayStage } from "./relayStage.ts";
import type { WholeAnswer } from "./wholeAnswer.ts";

/** One run of a streamed request on one chain. */
export interface StreamAttempt {
    stages: RelayStage[];
    /** Monotonic time of its sending, in milliseconds. */
    sentAt: number;
    reservation: LoadReservation;
    exchange: UpstreamExchange | undefined;
    head: AnswerHead | undefined;
    splitter: EventSplitter;
    /** Body of an answer that is no stream of events. */
    chunks: Buffer[];
    /** Monotonic time of the last sign of life, in milliseconds; for the search of stalled chains. */
    lastProgressAt: number;
    /** Whether this run has brought an event. */
    hasEvents: boolean;
}

/** Why a run brings no further events. */
export interface StreamAttemptEnd {
    /** Whether the chain has surely not run the request. */
    isNotRun: boolean;
    /** Whether no byte of it was sent. */
    isUnsent?: boolean;
    cause: string;
    /** Ids of endpoints that the next chain avoids. */
    avoid: string[];
    /** Passed on where nothing better comes. */
    failure?: WholeAnswer;
}
