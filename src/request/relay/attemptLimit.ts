import { maximumRefusals } from "./answers/maximumRefusals.ts";
import type { RelayEnvironment } from "./relayEnvironment.ts";
import type { RelayTask } from "./relayTask.ts";

/** Maximum number of attempts of a request, even if all first stages that ran it are lost. */
const hardAttemptLimit = 6;

/** Limits the attempts of a request as its route specifies. Runs on first stages that have ended since don't count. */
export class AttemptLimit {
    private readonly environment: RelayEnvironment;
    private readonly task: RelayTask;
    /** First stages that may have run the request. */
    private readonly possibleRuns = new Set<string>();
    private attemptCount = 0;
    private refusalCount = 0;

    private constructor(environment: RelayEnvironment, task: RelayTask) {
        this.environment = environment;
        this.task = task;
    }

    /** Creates the limit for a request that was not sent yet. */
    static create(environment: RelayEnvironment, task: RelayTask): AttemptLimit {
        return new AttemptLimit(environment, task);
    }

    /** Gets the number of attempts. */
    getAttemptCount(): number {
        return this.attemptCount;
    }

    /** Counts an attempt. */
    noteAttempt(): void {
        this.attemptCount += 1;
    }

    /** Counts a refusal by an endpoint that did not run the request. */
    noteRefusal(): void {
        this.refusalCount += 1;
    }

    /** Records that a first stage may have run the request. */
    noteRun(endpointId: string): void {
        this.possibleRuns.add(endpointId);
    }

    /**
     * Checks if the request may be sent to another first stage.
     * @param runningId - Id of a first stage that still runs it.
     */
    mayAttemptAgain(runningId?: string): boolean {
        if (this.attemptCount >= hardAttemptLimit || this.refusalCount > maximumRefusals) {
            return false;
        }
        const { directory, health, clock } = this.environment;
        const now = clock.getMonotonicTime();
        const endpoints = directory.getEndpoints(this.task.service.name);
        const possibleRuns = runningId === undefined ? this.possibleRuns : new Set([...this.possibleRuns, runningId]);
        const countedRuns = [...possibleRuns].filter(ranId =>
            endpoints.some(({ id }) => id === ranId) && !health.hasProbablyEnded(ranId, now)
        );
        return countedRuns.length < this.task.route.maximumAttempts;
    }
}
