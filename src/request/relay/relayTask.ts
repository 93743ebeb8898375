import type { Route } from "../../version/routing/route.ts";
import type { RoutedService } from "../../version/routing/routedService.ts";
import type { AnswerSink } from "./answerSink.ts";
import type { RoutedRequest } from "./routedRequest.ts";

/** A request whose route and customer are known. */
export interface RelayTask {
    request: RoutedRequest;
    route: Route;
    service: RoutedService;
    customer: string | undefined;
    /** What the request is recognized by when its caller sends it again; see `fingerprintRequest`. */
    fingerprint: string;
    sink: AnswerSink;
    /** Rank; 0 goes first. */
    rank: number;
    /** By how much the node's event loop was late when it took the request up, in milliseconds. */
    takenUpLateMilliseconds: number;
    /** Whether its caller has come back with it, as far as that can be known, so that it is late already. */
    isReturn: boolean;
    /** Monotonic time in milliseconds at which the final answer is due: the route's time or the caller's, if shorter. */
    dueAt: number;
}
