import type { UpstreamExchange } from "../../../connection/upstream/upstreamExchange.ts";
import type { AnswerHead } from "../answers/answerHead.ts";
import type { LoadReservation } from "../endpoints/loadReservation.ts";
import type { RegisteredEndpoint } from "../endpoints/registeredEndpoint.ts";
import type { PossibleRun } from "../possibleRun.ts";

/** An attempt to run a document request at an endpoint. */
export interface DocumentAttempt {
    endpoint: RegisteredEndpoint;
    run: PossibleRun;
    /** Monotonic time at which it began, in milliseconds. */
    sentAt: number;
    reservation: LoadReservation;
    exchange: UpstreamExchange | undefined;
    head: AnswerHead | undefined;
    chunks: Buffer[];
}
