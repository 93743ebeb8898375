import type { TimerHandle } from "../../../process/clock.ts";
import { Err, type Result } from "../../../result.ts";
import { RetryDelay } from "../../retryDelay.ts";
import type { ReservedChain } from "../chains/reservedChain.ts";
import { getLatestStart } from "../queue/getLatestStart.ts";
import type { ChainReplacement } from "./chainReplacement.ts";
import type { StreamState } from "./streamState.ts";

/** What the relay of a stream does for its resumption. */
interface StreamResumptionCallbacks {
    /** Called with a chain over which the request is to be sent. */
    onReserved(reservedChain: ReservedChain): void;
    /** Called when a chain is to be searched again, with the arguments of {@link StreamResumption.resume}. */
    onDue(cause: string, isRetry: boolean): void;
    /** Called with the cause if no chain can be expected in the time of the request. */
    onHopeless(cause: string): void;
}

const noEndpointCause = "No endpoint is left that may run it: those that its route allows have failed it.";
/** Time within which the record of an endpoint that lapsed comes back, less than callers wait for the next event. */
const relistMilliseconds = 1_000;
/** Interval at which it is checked whether a stream is still held back for crashes that may be refuted. */
const doubtReviewMilliseconds = 100;

/**
 * Continues a stream that can't be refused any more and has no chain, as soon as there is one: it has begun, or it may have run without an
 * answer, so that its caller would not know whether to send it again.
 */
export class StreamResumption {
    private readonly state: StreamState;
    private readonly callbacks: StreamResumptionCallbacks;
    private timer: TimerHandle | undefined;
    /** Time until a chain is searched again. */
    private readonly searchDelay = RetryDelay.create();
    /** Whether the last search found no chain. */
    private isWaiting = false;
    /** Whether it waits until the crashes for which the request is held back are refuted. */
    private isInDoubt = false;
    /** Monotonic time in milliseconds since which no endpoint is listed that may run it; undefined if one is. */
    private unlistedSince: number | undefined;

    private constructor(state: StreamState, callbacks: StreamResumptionCallbacks) {
        this.state = state;
        this.callbacks = callbacks;
    }

    /** Creates the resumption of a stream that has not begun. */
    static create(state: StreamState, callbacks: StreamResumptionCallbacks): StreamResumption {
        return new StreamResumption(state, callbacks);
    }

    /** Stops searching for a chain. */
    cancel(): void {
        this.timer?.cancel();
    }

    /** Checks if it searches for a chain. */
    isSearching(): boolean {
        return this.isWaiting;
    }

    /**
     * Waits while a stream that has begun is held back for crashes that may be refuted. Nothing is sent in the meantime.
     * @param cause - Why it has no chain.
     * @param isRetry - Whether the next run counts against the retry budget.
     * @param doubtMilliseconds - Time in which they may be refuted.
     */
    waitForProof(cause: string, isRetry: boolean, doubtMilliseconds: number): void {
        const { environment, logger, attemptLimit } = this.state;
        if (!this.isInDoubt) {
            this.isInDoubt = true;
            logger.writeWait(`${cause} The endpoints that seem to have crashed may be alive.`, attemptLimit);
        }
        const delay = Math.min(doubtMilliseconds, doubtReviewMilliseconds);
        this.timer = environment.clock.setTimer(delay, () => this.callbacks.onDue(cause, isRetry));
    }

    /**
     * Continues a stream as soon as there is a chain for it. It goes before requests that wait in the queue, since its caller would give up
     * sooner. Lack of capacity doesn't end one that has begun: the caller may wait longer than the endpoints are full. One without an answer
     * ends when its caller is about to leave. Either ends if all endpoints that may run it have broken it off and can't be reached.
     * @param cause - Why it has no chain.
     * @param isRetry - Whether the next run counts against the retry budget.
     */
    resume(cause: string, isRetry: boolean): void {
        this.isInDoubt = false;
        const { environment, task, answer } = this.state;
        const now = environment.clock.getMonotonicTime();
        const isBegun = answer.isBegun();
        const isFirstSearch = !this.isWaiting;
        const pause = this.state.pacing.getPause(now);
        const avoid = new Set([...this.state.avoided, ...this.state.pacing.listRefusing(now)]);
        const maySuspect = this.state.pacing.mayTrySuspects(now);
        // One without an answer has counted as demand when it was refused.
        const isRepeated = !isFirstSearch || !isBegun;
        if (!isBegun) {
            environment.streamRetries.noteBegun(task);
        }
        const reserved = pause > 0
            ? Err("Endpoints have just refused it.")
            : this.reserve({ avoid, isRetry, isRepeated, maySuspect });
        if (reserved.ok) {
            this.isWaiting = false;
            this.searchDelay.reset();
            this.callbacks.onReserved(reserved.val);
            return;
        }
        // An endpoint that has refused the request, has broken it off after events, or could not be reached before the request was sent, may
        // run it later. One that has failed otherwise would only do so again.
        for (const id of this.state.pacing.listRefused()) {
            this.state.avoided.delete(id);
        }
        if (!this.mayHaveChain(now)) {
            this.callbacks.onHopeless(`${cause} ${noEndpointCause}`);
            return;
        }
        const delay = Math.max(pause, this.searchDelay.take());
        if (!isBegun && now + delay > getLatestStart(environment, task)) {
            this.callbacks.onHopeless(`${cause} ${reserved.val}`);
            return;
        }
        if (isFirstSearch) {
            this.state.logger.writeWait(`${cause} ${reserved.val}`, this.state.attemptLimit);
        }
        this.isWaiting = true;
        this.timer = environment.clock.setTimer(delay, () => this.callbacks.onDue(cause, isRetry));
    }

    /** Reserves a chain, without the endpoint that was the last to refuse the request if there is another one. */
    private reserve(requirements: Parameters<ChainReplacement["reserve"]>[0]): Result<ReservedChain, string> {
        const { replacement, pacing } = this.state;
        const last = pacing.getLastRefusing();
        if (last === undefined || requirements.avoid.has(last)) {
            return replacement.reserve(requirements);
        }
        const other = replacement.reserve({ ...requirements, avoid: new Set([...requirements.avoid, last]) });
        return other.ok ? other : replacement.reserve({ ...requirements, isRepeated: true });
    }

    /** Checks if a chain may be found in the time of the request. Records of endpoints that have not failed it may be missing for a moment. */
    private mayHaveChain(now: number): boolean {
        const { chains, avoided, task } = this.state;
        if (chains.hasChain(avoided, task.dueAt)) {
            this.unlistedSince = undefined;
            return true;
        }
        this.unlistedSince ??= now;
        return chains.hasUnlistedEndpoint(avoided) && now - this.unlistedSince < relistMilliseconds;
    }
}
