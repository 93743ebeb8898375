import type { Route } from "../../version/routing/route.ts";
import type { RoutedService } from "../../version/routing/routedService.ts";
import type { AnswerSink } from "./answers/answerSink.ts";
import type { RoutedRequest } from "./routedRequest.ts";

/** A request with its resolved route and customer. */
export interface RelayTask {
    request: RoutedRequest;
    route: Route;
    service: RoutedService;
    customer: string | undefined;
    /** Identifies the request when its caller retries it; see `fingerprintRequest`. */
    fingerprint: string;
    /** Identify the parts of the prompt that other requests may share; see `fingerprintParts`. */
    partKeys: readonly string[];
    sink: AnswerSink;
    /** Priority rank; 0 is the highest priority. */
    rank: number;
    /** Ranks that requests for the service can have, in ascending order. Ranks matter only where there are several. */
    ranks: readonly number[];
    /** Event loop delay when the node began to handle the request, in milliseconds. */
    takenUpLateMilliseconds: number;
    /** Whether the request appears to be a retry by the caller, so that it is already late. */
    isReturn: boolean;
    /** Monotonic time in milliseconds at which the final answer is due: the deadline of the route or the caller, whichever is earlier. */
    dueAt: number;
}
