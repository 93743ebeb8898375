import type { IncomingMessage } from "node:http";
import type { EventLog } from "../../process/logging/eventLog.ts";
import { events } from "../../process/logging/events.ts";
import type { UnansweredReason } from "./unansweredReason.ts";

const maximumLoggedIds = 8;
const maximumIdLength = 64;

/** Collects the requests of one connection that were read and get neither an answer nor a refusal. */
export class UnansweredRequests {
    private readonly ids: string[] = [];
    private count = 0;
    private earliestArrival = Infinity;

    private constructor() {}

    /** Creates an empty collection. */
    static create(): UnansweredRequests {
        return new UnansweredRequests();
    }

    /**
     * Adds a request.
     * @param request - The caller's request.
     * @param arrivedAt - Monotonic time of its arrival, in milliseconds.
     */
    add({ headers }: Pick<IncomingMessage, "headers">, arrivedAt: number): void {
        this.count += 1;
        this.earliestArrival = Math.min(this.earliestArrival, arrivedAt);
        if (this.ids.length < maximumLoggedIds) {
            this.ids.push(String(headers["request-id"] ?? "").slice(0, maximumIdLength));
        }
    }

    /** Logs the requests in one event, which names the first few of them. Logs nothing if there are none. */
    writeTo(log: EventLog, reason: UnansweredReason, now: number): void {
        if (this.count > 0) {
            const milliseconds = Math.round(now - this.earliestArrival);
            const fields = { requests: this.ids.join(","), count: this.count, reason, milliseconds };
            log.write(events.requestsUnanswered, fields);
        }
    }
}
