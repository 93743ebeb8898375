import type { RandomSource } from "../../process/randomSource.ts";
import type { Refusal } from "./refusal.ts";
import { RefusalKind } from "./refusalKind.ts";

/** Time over which the retries of a draining node's callers are spread. */
const spreadMilliseconds = 1_000;

/** Creates the refusal of a request at a node that is shutting down. */
export function createDrainingRefusal(random: RandomSource): Refusal {
    return {
        kind: RefusalKind.Draining,
        retryAfterMilliseconds: random() * spreadMilliseconds,
        message: "This node is shutting down. Retry the request; another node will accept it.",
    };
}
