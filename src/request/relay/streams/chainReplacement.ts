import { Err, Ok, type Result } from "../../../result.ts";
import type { AttemptLimit } from "../attemptLimit.ts";
import type { RelayChains } from "../chains/relayChains.ts";
import type { ReservedChain } from "../chains/reservedChain.ts";
import type { TaskQuarantine } from "../quarantine/taskQuarantine.ts";
import type { RelayEnvironment } from "../relayEnvironment.ts";
import type { RelayTask } from "../relayTask.ts";

/** Options of a {@link ChainReplacement}. */
interface ChainReplacementOptions {
    environment: RelayEnvironment;
    task: RelayTask;
    chains: RelayChains;
    attemptLimit: AttemptLimit;
    quarantine: TaskQuarantine;
}

/** Requirements for the other chain of a stream that has begun. */
interface ReplacementRequirements {
    /** Ids of endpoints that the chain must not use. */
    avoid: ReadonlySet<string>;
    /** Whether the next run counts against the retry budget. */
    isRetry: boolean;
    /** Whether the search is made again after it has found no chain, so that it is no new demand. */
    isRepeated: boolean;
    /** Whether the chain may have suspect endpoints. */
    maySuspect: boolean;
}

/** Requirements for the other chain of a request that still runs on one. */
interface RunningReplacementRequirements {
    /** Ids of endpoints that the chain must not use. */
    avoid: ReadonlySet<string>;
    /** Whether the chain may have suspect endpoints. */
    maySuspect: boolean;
    /** Whether the request may return to an endpoint that has received it, if its route allows no other. */
    mayReturn: boolean;
    /** Whether the chain may have endpoints without enough free memory, and links at which the request would wait. Default: true. */
    mayOvercommit?: boolean;
    /** Number of retries that it leaves for other requests, beyond those that are kept for streams that have begun. Default: 0. */
    retriesLeft?: number;
}

const exhaustedBudgetCause = "The retry budget is used up.";

/** Reserves another chain for a request that was sent before, without the queue. */
export class ChainReplacement {
    private readonly options: ChainReplacementOptions;

    private constructor(options: ChainReplacementOptions) {
        this.options = options;
    }

    /** Creates the replacement of a request. */
    static create(options: ChainReplacementOptions): ChainReplacement {
        return new ChainReplacement(options);
    }

    /** Reserves a chain for a stream that has begun and has none. Returns why there is none otherwise. */
    reserve({ avoid, isRetry, isRepeated, maySuspect }: ReplacementRequirements): Result<ReservedChain, string> {
        const { environment, task } = this.options;
        if (!isRepeated) {
            environment.limits.noteRequest(task.service.name, environment.clock.getMonotonicTime());
        }
        return this.choose({ avoid, maySuspect }, isRetry);
    }

    /**
     * Reserves a chain for a request while it still runs on another one, so that the run is given up only for a chain that takes over.
     * @returns The chain; otherwise why the request stays where it is.
     */
    reserveForRunning(requirements: RunningReplacementRequirements): Result<ReservedChain, string> {
        const { task, chains, attemptLimit, quarantine } = this.options;
        if (!task.route.isResumable) {
            return Err("Its route allows no second run.");
        }
        if (!attemptLimit.mayRunAgain() || !requirements.mayReturn && chains.isFirstStageRestricted()) {
            return Err("It was sent to as many endpoints as it may be.");
        }
        if (quarantine.isCanary() || quarantine.isHeld()) {
            return Err("It may crash endpoints.");
        }
        return this.choose(requirements, true);
    }

    private choose(
        { avoid, maySuspect, mayOvercommit = true, retriesLeft = 0 }: Omit<RunningReplacementRequirements, "mayReturn">,
        isRetry: boolean,
    ): Result<ReservedChain, string> {
        const { environment, task, chains } = this.options;
        const now = environment.clock.getMonotonicTime();
        if (isRetry && !environment.streamRetries.isAvailable(task, now, retriesLeft)) {
            return Err(exhaustedBudgetCause);
        }
        const stages = chains.chooseWithinLimits({
            avoid,
            maySuspect,
            mayOvercommit,
            mayBeFull: false,
            rateLimited: new Set(),
        });
        if (stages === undefined) {
            return Err("No other chain that the request may be sent over has free capacity.");
        }
        if (isRetry && !environment.streamRetries.take(task, now, retriesLeft)) {
            chains.refundLimit(stages);
            return Err(exhaustedBudgetCause);
        }
        return Ok({ stages, reservation: chains.reserve(stages), isRetry });
    }
}
