import { events } from "../../../process/logging/events.ts";
import type { AttemptLimit } from "../attemptLimit.ts";
import { formatStages } from "../chains/formatStages.ts";
import type { RelayStage } from "../chains/relayStage.ts";
import { createEndFields } from "../createEndFields.ts";
import { listDataCentres } from "../links/listDataCentres.ts";
import type { PossibleRuns } from "../possibleRuns.ts";
import type { RelayEnvironment } from "../relayEnvironment.ts";
import type { RelayTask } from "../relayTask.ts";
import type { StreamAttempt } from "./streamAttempt.ts";
import type { StreamAttemptEnd } from "./streamAttemptEnd.ts";
import type { StreamProgress } from "./streamProgress.ts";

/** A failed attempt, for the log. */
interface FailedAttempt {
    attempt: StreamAttempt;
    end: StreamAttemptEnd;
    attempts: Pick<AttemptLimit, "getAttemptCount" | "getRefusalCount">;
    runs: Pick<PossibleRuns, "describe">;
    /** Used fraction of the first stage's memory. */
    memoryPart: number;
}

/** A request that is sent over another chain while it runs on one, for the log. */
interface HedgedRequest {
    /** The other chain. */
    stages: readonly RelayStage[];
    cause: string;
    attempts: Pick<AttemptLimit, "getAttemptCount" | "getRefusalCount">;
    runs: Pick<PossibleRuns, "describe">;
}

/** The end of a request, for the log. */
interface EndedRequest {
    outcome: string;
    cause: string;
    attempts: Pick<AttemptLimit, "getAttemptCount" | "getRefusalCount">;
    /** The attempt that was in progress. */
    attempt: StreamAttempt | undefined;
    /** Monotonic time in milliseconds at which the first byte was sent to an endpoint. */
    firstSentAt: number | undefined;
    /** Whether the attempt may have been queued at a link. */
    isQueuedAtLink: boolean;
    /** Why there was no second chain. */
    obstacle: string;
    /** For how long its endpoint waited for its caller. */
    pausedMilliseconds: number;
}

/** Writes the log entries of a streamed request. */
export class StreamLogger {
    private readonly environment: RelayEnvironment;
    private readonly task: RelayTask;
    private readonly progress: StreamProgress;
    private rerouteCount = 0;
    /** Chain of the last failed attempt; empty if none has failed. */
    private failedStages: readonly RelayStage[] = [];

    private constructor(environment: RelayEnvironment, task: RelayTask, progress: StreamProgress) {
        this.environment = environment;
        this.task = task;
        this.progress = progress;
    }

    /** Creates the logger of a request that was not sent yet. */
    static create(environment: RelayEnvironment, task: RelayTask, progress: StreamProgress): StreamLogger {
        return new StreamLogger(environment, task, progress);
    }

    /** Logs that the request was moved to another chain. */
    writeReroute(stages: readonly RelayStage[]): void {
        this.rerouteCount += 1;
        this.environment.log.write(events.relayRerouted, {
            request: this.task.request.id,
            chain: formatStages(stages),
            lastEvent: this.progress.getLastId(),
        });
    }

    /** Logs why an attempt failed. */
    writeFailure({ attempt, end, attempts, runs, memoryPart }: FailedAttempt): void {
        this.failedStages = attempt.stages;
        this.environment.log.write(events.relayAttemptFailed, {
            request: this.task.request.id,
            chain: formatStages(attempt.stages),
            peer: attempt.exchange?.getPeer() ?? "",
            attempt: attempts.getAttemptCount(),
            ...runs.describe(),
            isNotRun: end.isNotRun,
            isReplaced: end.replacement !== undefined,
            ...this.describeRetries(attempts),
            cause: end.cause,
            avoided: end.avoid.join(","),
            lastEvent: this.progress.getLastId(),
            fingerprint: this.task.fingerprint,
            parts: this.task.partKeys.join(","),
            memoryPart: Number(memoryPart.toFixed(2)),
            eventMilliseconds: Math.round(getEventDuration(attempt)),
            milliseconds: this.getMillisecondsSince(attempt.sentAt),
        });
    }

    /** Logs that the request is sent over another chain while it runs on one. */
    writeHedge({ stages, cause, attempts, runs }: HedgedRequest): void {
        this.environment.log.write(events.relayHedged, {
            request: this.task.request.id,
            chain: formatStages(stages),
            cause,
            attempt: attempts.getAttemptCount(),
            ...runs.describe(),
            lastEvent: this.progress.getLastId(),
            ...this.describeRetries(attempts),
        });
    }

    /**
     * Logs that an attempt was ended because another one makes progress.
     * @param attempt - The attempt that was ended.
     * @param stages - The chain that makes progress.
     */
    writeSuperseded(attempt: StreamAttempt, stages: readonly RelayStage[]): void {
        this.environment.log.write(events.relaySuperseded, {
            request: this.task.request.id,
            chain: formatStages(attempt.stages),
            by: formatStages(stages),
            lastEvent: this.progress.getLastId(),
            milliseconds: this.getMillisecondsSince(attempt.sentAt),
        });
    }

    /**
     * Logs that a stream that has begun waits for a chain.
     * @param cause - Why it has none.
     * @param attempts - Its attempts and refusals so far.
     */
    writeWait(cause: string, attempts: Pick<AttemptLimit, "getAttemptCount" | "getRefusalCount">): void {
        this.environment.log.write(events.relayWaitsToResume, {
            request: this.task.request.id,
            cause,
            lastEvent: this.progress.getLastId(),
            attempt: attempts.getAttemptCount(),
            ...this.describeRetries(attempts),
        });
    }

    /** Logs how the request ended. */
    writeEnd(ended: EndedRequest): void {
        const { environment, task } = this;
        const { outcome, cause, attempts, attempt, firstSentAt, pausedMilliseconds } = ended;
        if (outcome === "callerGone" && this.progress.getCount() === 0) {
            this.writeUnserved(ended);
        }
        const { arrivedAt, promptTokens } = task.request;
        environment.log.write(events.relayEnded, {
            ...createEndFields(environment, task, {
                outcome,
                cause,
                attemptCount: attempts.getAttemptCount(),
                firstSentAt,
                peer: attempt?.exchange?.getPeer(),
                dataCentres: listDataCentres(attempt?.stages ?? this.failedStages),
            }),
            reroutes: this.rerouteCount,
            ...this.describeRetries(attempts),
            events: this.progress.getCount(),
            chain: attempt === undefined ? "" : formatStages(attempt.stages),
            promptTokens,
            firstEventMilliseconds: Math.round((this.progress.getFirstTime() ?? arrivedAt) - arrivedAt),
            longestGapMilliseconds: Math.round(this.progress.getLongestGap()),
            pausedMilliseconds: Math.round(pausedMilliseconds),
        });
    }

    /** Logs where a stream stood whose caller left before its first event. */
    private writeUnserved({ attempt, attempts, isQueuedAtLink, obstacle }: EndedRequest): void {
        const { health, log } = this.environment;
        const endpointId = attempt?.stages[0]!.endpoint.id ?? "";
        const lastAliveAt = health.getLastAliveTime(endpointId);
        log.write(events.callerLeftUnserved, {
            request: this.task.request.id,
            endpoint: endpointId,
            heldMilliseconds: this.getMillisecondsSince(attempt?.sentAt ?? this.task.request.arrivedAt),
            unheardMilliseconds: lastAliveAt === -Infinity ? "" : this.getMillisecondsSince(lastAliveAt),
            isQueuedAtLink,
            attempt: attempts.getAttemptCount(),
            ...this.describeRetries(attempts),
            obstacle: attempt === undefined ? "It had no chain." : obstacle,
        });
    }

    /** Describes what refusals have cost, and how many retries the node has left. */
    private describeRetries(
        attempts: Pick<AttemptLimit, "getRefusalCount">,
    ): { refusals: number; retriesLeft: number; } {
        const { retryBudget, clock } = this.environment;
        const retriesLeft = Number(retryBudget.getBalance(clock.getMonotonicTime()).toFixed(1));
        return { refusals: attempts.getRefusalCount(), retriesLeft };
    }

    private getMillisecondsSince(time: number): number {
        return Math.round(this.environment.clock.getMonotonicTime() - time);
    }
}

/** Gets the time from the first event of an attempt to its last progress, in milliseconds. */
function getEventDuration({ firstEventAt, lastProgressAt }: StreamAttempt): number {
    return firstEventAt === undefined ? 0 : lastProgressAt - firstEventAt;
}
