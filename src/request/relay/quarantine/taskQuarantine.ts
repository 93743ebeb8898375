import { events } from "../../../process/logging/events.ts";
import type { RelayEnvironment } from "../relayEnvironment.ts";
import type { RelayTask } from "../relayTask.ts";
import type { RequestHold } from "./requestHold.ts";

/** A connection that broke sooner after the sending was to an endpoint that had ended already, so that nothing ran. */
const shortestRunMilliseconds = 10;

/** What one sending of a request tells the quarantine, and asks it. */
export class TaskQuarantine {
    private readonly environment: RelayEnvironment;
    private readonly task: RelayTask;
    private isOutlived = false;

    private constructor(environment: RelayEnvironment, task: RelayTask) {
        this.environment = environment;
        this.task = task;
    }

    /** Creates it for a request that was not sent on yet. */
    static create(environment: RelayEnvironment, task: RelayTask): TaskQuarantine {
        return new TaskQuarantine(environment, task);
    }

    /** Gets why the request isn't sent on; undefined where it may be. */
    getHold(): RequestHold | undefined {
        const { quarantine, log, clock } = this.environment;
        const { request, fingerprint } = this.task;
        const hold = quarantine.getHold(fingerprint, clock.getMonotonicTime());
        if (hold !== undefined) {
            log.write(events.requestHeldBack, {
                request: request.id,
                fingerprint,
                endpoints: hold.endpointIds.join(","),
                remainingMilliseconds: Math.round(hold.remainingMilliseconds),
            });
        }
        return hold;
    }

    /** Notes that an endpoint has run the request and lives on, so that this request isn't what ends others. */
    noteOutlived(): void {
        if (!this.isOutlived) {
            this.isOutlived = true;
            this.environment.quarantine.noteServed(this.task.fingerprint);
        }
    }

    /**
     * Suspects the request of having ended an endpoint, where it had just begun to run there.
     * @param endpointId - The endpoint that seems to have ended.
     * @param sentAt - Monotonic time in milliseconds at which it got the request.
     */
    noteEnded(endpointId: string, sentAt: number): void {
        const at = this.environment.clock.getMonotonicTime();
        if (!this.isOutlived && at - sentAt >= shortestRunMilliseconds) {
            const { fingerprint, request } = this.task;
            this.environment.quarantine.noteEnded({ fingerprint, endpointId, at }, request.id);
        }
    }
}
