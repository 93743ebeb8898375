import { events } from "../../../process/logging/events.ts";
import type { RelayEnvironment } from "../relayEnvironment.ts";
import type { RelayTask } from "../relayTask.ts";
import type { RequestHold } from "./requestHold.ts";

/** If a connection breaks sooner than this after sending, the endpoint had already crashed before it could run the request. */
const minimumRunMilliseconds = 10;

/** Connects a forwarded request to the {@link RequestQuarantine} of the node. */
export class TaskQuarantine {
    private readonly environment: RelayEnvironment;
    private readonly task: RelayTask;
    private isSafe = false;

    private constructor(environment: RelayEnvironment, task: RelayTask) {
        this.environment = environment;
        this.task = task;
    }

    /** Creates the connection for a request that was not forwarded yet. */
    static create(environment: RelayEnvironment, task: RelayTask): TaskQuarantine {
        return new TaskQuarantine(environment, task);
    }

    /** Checks if the request is held back, without a log line. */
    isHeld(): boolean {
        const { quarantine, clock } = this.environment;
        return quarantine.getHold(this.task.fingerprint, clock.getMonotonicTime()) !== undefined;
    }

    /** Gets why the request is held back; undefined if it may be sent. */
    getHold(): RequestHold | undefined {
        const { quarantine, log, clock } = this.environment;
        const { request, fingerprint } = this.task;
        const hold = quarantine.getHold(fingerprint, clock.getMonotonicTime());
        if (hold !== undefined) {
            log.write(events.requestQuarantined, {
                request: request.id,
                fingerprint,
                endpoints: hold.endpointIds.join(","),
                remainingMilliseconds: Math.round(hold.remainingMilliseconds),
            });
        }
        return hold;
    }

    /** Records that an endpoint has run the request without crashing, so that the request is not the cause of other crashes. */
    markSafe(): void {
        if (!this.isSafe) {
            this.isSafe = true;
            this.environment.quarantine.markSafe(this.task.fingerprint);
        }
    }

    /**
     * Records a suspected crash, if the request had just begun to run on the endpoint.
     * @param endpointId - Id of the endpoint that seems to have crashed.
     * @param sentAt - Monotonic time in milliseconds at which the request was sent to it.
     * @param at - Monotonic time in milliseconds at which the connection broke. The test of its path takes longer than
     * {@link minimumRunMilliseconds}, so that the time after the test would make every request a suspect.
     * @param firstEventAt - Monotonic time in milliseconds of the first event of the answer; undefined if there was none.
     */
    noteCrash(endpointId: string, sentAt: number, at: number, firstEventAt?: number): void {
        if (!this.isSafe && at - sentAt >= minimumRunMilliseconds) {
            const { fingerprint, request, partKeys } = this.task;
            this.environment.quarantine.noteCrash({ fingerprint, endpointId, at }, request.id, {
                parts: partKeys.join(","),
                runMilliseconds: Math.round(at - sentAt),
                answerMilliseconds: firstEventAt === undefined ? 0 : Math.round(at - firstEventAt),
            });
        }
    }
}
