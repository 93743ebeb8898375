import { getPauseRetryDelay } from "../../getPauseRetryDelay.ts";
import { createRefusal } from "../answers/createRefusal.ts";
import type { RelayRefusal } from "../answers/relayRefusal.ts";
import type { RegisteredEndpoint } from "../endpoints/registeredEndpoint.ts";
import type { RelayEnvironment } from "../relayEnvironment.ts";
import type { RelayTask } from "../relayTask.ts";
import { chooseEndpoint } from "./chooseEndpoint.ts";

/** Why no endpoint is left for a request. */
interface ExhaustedEndpoints {
    cause: string;
    /** Refusal for the caller if no endpoint has run the request. */
    refusal: RelayRefusal;
}

/** Chooses the endpoints of a document service that a request is sent to, each at most once until all are allowed again. */
export class DocumentEndpoints {
    private readonly environment: RelayEnvironment;
    private readonly task: RelayTask;
    private readonly triedIds = new Set<string>();
    /** Ids of endpoints that the latest choice skipped because of their rate limits. */
    private limitedIds = new Set<string>();

    private constructor(environment: RelayEnvironment, task: RelayTask) {
        this.environment = environment;
        this.task = task;
    }

    /** Creates the choice for a request that was not sent yet. */
    static create(environment: RelayEnvironment, task: RelayTask): DocumentEndpoints {
        return new DocumentEndpoints(environment, task);
    }

    /** Checks if the request may be sent to an endpoint that has not received it. */
    hasUntried(): boolean {
        return this.listUntried().length > 0;
    }

    /**
     * Chooses the next endpoint and takes the request out of this node's share of the endpoint's rate limit.
     * @param onlyAllowedIds - Ids of the only endpoints that may receive the request; undefined if all may.
     */
    acquire(onlyAllowedIds?: ReadonlySet<string>): RegisteredEndpoint | undefined {
        const { environment, task } = this;
        const { limits } = environment;
        const now = this.getTime();
        limits.noteRequest(task.service.name, now);
        this.limitedIds = new Set();
        let untried = this.listUntried().filter(({ id }) => onlyAllowedIds?.has(id) ?? true);
        for (let next = chooseEndpoint(environment, untried); next !== undefined;) {
            if (limits.take(next, now)) {
                this.triedIds.add(next.id);
                return next;
            }
            this.limitedIds.add(next.id);
            untried = untried.filter(({ id }) => !this.limitedIds.has(id));
            next = chooseEndpoint(environment, untried);
        }
        return undefined;
    }

    /** Allows an endpoint to be chosen again, because it can be reached over another path. */
    allowAgain(endpointId: string): void {
        this.triedIds.delete(endpointId);
    }

    /** Allows all endpoints to be chosen again, if there is none left that has not received the request. */
    allowAllAgainIfNoneLeft(): void {
        if (!this.hasUntried()) {
            this.triedIds.clear();
        }
    }

    /**
     * Gets why no endpoint is left. The retry delay depends on whether endpoints have rate limits or want a pause.
     * @param cause - Why the request has no answer yet.
     */
    explainExhaustion(cause: string): ExhaustedEndpoints {
        const { limits, directory, instructions, random } = this.environment;
        const now = this.getTime();
        if (this.limitedIds.size > 0) {
            const retryAfterMilliseconds = limits.bookRetry(this.limitedIds, now);
            return createExhaustion(
                `${cause} The rate limits of the remaining endpoints are exhausted.`,
                retryAfterMilliseconds,
            );
        }
        const ids = directory.getEndpoints(this.task.service.name).map(({ id }) => id);
        const [firstEnd] = instructions.listPauseEnds(ids);
        if (firstEnd === undefined) {
            return createExhaustion(cause);
        }
        return createExhaustion(
            `${cause} The remaining endpoints accept no requests for some time.`,
            getPauseRetryDelay(firstEnd - now, random),
        );
    }

    private listUntried(): RegisteredEndpoint[] {
        const { directory, instructions } = this.environment;
        return directory.getEndpoints(this.task.service.name).filter(({ id }) =>
            !this.triedIds.has(id) && instructions.maySend(id)
        );
    }

    private getTime(): number {
        return this.environment.clock.getMonotonicTime();
    }
}

function createExhaustion(cause: string, retryAfterMilliseconds?: number): ExhaustedEndpoints {
    return { cause, refusal: createRefusal.notRun(cause, retryAfterMilliseconds) };
}
