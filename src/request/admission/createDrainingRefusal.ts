import type { RandomSource } from "../../process/randomSource.ts";
import type { Refusal } from "./refusal.ts";
import { RefusalKind } from "./refusalKind.ts";

/** Time over which callers of a draining node are spread over the other nodes, in milliseconds. */
const spreadMilliseconds = 1_000;

/** Creates the refusal of a request at a node that is shutting down. */
export function createDrainingRefusal(random: RandomSource): Refusal {
    return {
        kind: RefusalKind.Draining,
        retryAfterMilliseconds: random() * spreadMilliseconds,
        message: "The node is shutting down and has not run the request. Send it again; another node takes it.",
    };
}
