import type { OpenRequest } from "./openRequest.ts";
import { OpenRequestState } from "./openRequestState.ts";
import { shouldEndAtStop } from "./shouldEndAtStop.ts";

/** The requests of a node that have no final answer yet. */
export class OpenRequests {
    private readonly requests = new Set<OpenRequest>();

    private constructor() {}

    /** Creates an instance without requests. */
    static create(): OpenRequests {
        return new OpenRequests();
    }

    /** Adds a request. */
    add(request: OpenRequest): void {
        this.requests.add(request);
    }

    /** Removes a request that has ended. */
    remove(request: OpenRequest): void {
        this.requests.delete(request);
    }

    /**
     * Ends the requests that can't be answered before this node ends, although they could wait until then.
     * @param remainingMilliseconds - Time until the node ends.
     */
    endHopeless(remainingMilliseconds: number): void {
        for (const request of [...this.requests]) {
            const neededMilliseconds = request.getNeededTime();
            if (shouldEndAtStop({ state: request.getState(), neededMilliseconds, remainingMilliseconds })) {
                request.endAtStop();
            }
        }
    }

    /**
     * Ends all requests, because this node ends.
     * @returns Their number by what happened to them.
     */
    endAll(): Record<OpenRequestState, number> {
        const counts: Record<OpenRequestState, number> = {
            [OpenRequestState.Running]: 0,
            [OpenRequestState.Resuming]: 0,
            [OpenRequestState.Waiting]: 0,
        };
        for (const request of [...this.requests]) {
            counts[request.getState()] += 1;
            request.endAtStop();
        }
        return counts;
    }
}
