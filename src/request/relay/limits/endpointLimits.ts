import type { EventLog } from "../../../process/logging/eventLog.ts";
import { events } from "../../../process/logging/events.ts";
import type { EndpointLimit } from "./endpointLimit.ts";

/** Where a node has a limit from. */
type LimitSource = "answer" | "peer";

/** What endpoints have said of how many requests a second they take from all nodes together. */
export class EndpointLimits {
    private readonly log: EventLog;
    private readonly limits = new Map<string, EndpointLimit>();

    private constructor(log: EventLog) {
        this.log = log;
    }

    /** Creates a record without limits. */
    static create(log: EventLog): EndpointLimits {
        return new EndpointLimits(log);
    }

    /**
     * Notes what an answer of an endpoint says of its limit.
     * @param endpointId - The endpoint.
     * @param requestsPerSecond - The limit; undefined where the answer names none, so that there is none any more.
     * @param now - Monotonic time in milliseconds.
     */
    noteAnswer(endpointId: string, requestsPerSecond: number | undefined, now: number): void {
        if (requestsPerSecond !== undefined || this.limits.has(endpointId)) {
            this.take({ endpointId, requestsPerSecond, at: now }, "answer");
        }
    }

    /** Forgets endpoints that are not registered any more. */
    retain(endpointIds: ReadonlySet<string>): void {
        for (const endpointId of this.limits.keys()) {
            if (!endpointIds.has(endpointId)) {
                this.limits.delete(endpointId);
            }
        }
    }

    private take(limit: EndpointLimit, source: LimitSource): void {
        const known = this.limits.get(limit.endpointId);
        this.limits.set(limit.endpointId, limit);
        if (known?.requestsPerSecond === limit.requestsPerSecond) {
            return;
        }
        this.log.write(events.endpointLimited, {
            endpoint: limit.endpointId,
            isLimited: limit.requestsPerSecond !== undefined,
            requestsPerSecond: limit.requestsPerSecond ?? 0,
            before: known?.requestsPerSecond ?? 0,
            source,
        });
    }
}
