import { maximumRefusals } from "./answers/maximumRefusals.ts";
import type { RelayEnvironment } from "./relayEnvironment.ts";
import type { RelayTask } from "./relayTask.ts";

/** Maximum number of attempts of a request, even if all first stages that ran it are lost. */
const hardAttemptLimit = 6;

/** Why a possible run doesn't count against the maximum of the route. */
const UncountedReason = {
    Unlisted: "unlisted",
    Unheard: "unheard",
    PathLost: "pathLost",
} as const;
type UncountedReason = typeof UncountedReason[keyof typeof UncountedReason];

/** Limits the attempts of a request as its route specifies. Runs on first stages that have ended since don't count. */
export class AttemptLimit {
    private readonly environment: RelayEnvironment;
    private readonly task: RelayTask;
    /** First stages that may have run the request. */
    private readonly possibleRuns = new Set<string>();
    /** First stages that may have run the request, but whose path was lost. */
    private readonly lostPaths = new Set<string>();
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

    /** Records that a first stage may have run the request whose path was lost, so that the run doesn't count. */
    noteLostPath(endpointId: string): void {
        this.lostPaths.add(endpointId);
    }

    /** Gets the ids of the first stages whose runs count, for the log. */
    getCountedRuns(): string {
        return [...this.possibleRuns].filter(ranId => this.getUncountedReason(ranId) === undefined).join(",");
    }

    /** Gets the ids of the first stages that may have run the request without counting, each with the reason, for the log. */
    getUncountedRuns(): string {
        const uncounted = [...this.possibleRuns].map(ranId => ({ ranId, reason: this.getUncountedReason(ranId) }))
            .filter(({ reason }) => reason !== undefined);
        const lost = [...this.lostPaths].map(ranId => ({ ranId, reason: UncountedReason.PathLost }));
        return [...uncounted, ...lost].map(({ ranId, reason }) => `${ranId}:${reason}`).join(",");
    }

    /**
     * Checks if the request may be sent to another first stage.
     * @param runningId - Id of a first stage that still runs it.
     */
    mayAttemptAgain(runningId?: string): boolean {
        if (this.attemptCount >= hardAttemptLimit || this.refusalCount > maximumRefusals) {
            return false;
        }
        const possibleRuns = runningId === undefined ? this.possibleRuns : new Set([...this.possibleRuns, runningId]);
        const countedRuns = [...possibleRuns].filter(ranId => this.getUncountedReason(ranId) === undefined);
        return countedRuns.length < this.task.route.maximumAttempts;
    }

    private getUncountedReason(ranId: string): UncountedReason | undefined {
        const { directory, health, clock } = this.environment;
        if (!directory.getEndpoints(this.task.service.name).some(({ id }) => id === ranId)) {
            return UncountedReason.Unlisted;
        }
        return health.hasProbablyEnded(ranId, clock.getMonotonicTime()) ? UncountedReason.Unheard : undefined;
    }
}
