import { mostRefusals } from "./mostRefusals.ts";
import type { RelayEnvironment } from "./relayEnvironment.ts";
import type { RelayTask } from "./relayTask.ts";

/** However many first stages are lost, a request is not sent more often than this. */
const mostSendings = 6;

/** How often a request may still be run, by its route. First stages that were lost since they ran it don't count. */
export class RunAllowance {
    private readonly environment: RelayEnvironment;
    private readonly task: RelayTask;
    /** First stages that may have run the request. */
    private readonly ranAt = new Set<string>();
    private sendings = 0;
    private refusals = 0;

    private constructor(environment: RelayEnvironment, task: RelayTask) {
        this.environment = environment;
        this.task = task;
    }

    /** Creates the allowance of a request that was not sent yet. */
    static create(environment: RelayEnvironment, task: RelayTask): RunAllowance {
        return new RunAllowance(environment, task);
    }

    /** Gets how often the request was sent. */
    getSendings(): number {
        return this.sendings;
    }

    /** Notes that the request is sent. */
    noteSending(): void {
        this.sendings += 1;
    }

    /** Notes that an endpoint has refused it, without running it. */
    noteRefusal(): void {
        this.refusals += 1;
    }

    /** Notes that a first stage may have run it. */
    noteRun(endpointId: string): void {
        this.ranAt.add(endpointId);
    }

    /** Whether the request may be sent to another first stage. */
    mayRunAgain(): boolean {
        if (this.sendings >= mostSendings || this.refusals > mostRefusals) {
            return false;
        }
        const { directory, health, clock } = this.environment;
        const now = clock.getMonotonicTime();
        const endpoints = directory.getEndpoints(this.task.service.name);
        const soundRuns = [...this.ranAt].filter(ranId =>
            endpoints.some(({ id }) => id === ranId) && !health.isSuspect(ranId, now)
        );
        return soundRuns.length < this.task.route.maximumAttempts;
    }
}
