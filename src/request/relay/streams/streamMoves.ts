import { Err } from "../../../result.ts";
import type { RelayStage } from "../chains/relayStage.ts";
import type { ReservedChain } from "../chains/reservedChain.ts";
import type { ChainReplacement } from "./chainReplacement.ts";
import type { StreamAttempt } from "./streamAttempt.ts";
import type { StreamAttemptEnd } from "./streamAttemptEnd.ts";
import type { StreamState } from "./streamState.ts";

type RunningRequirements = Parameters<ChainReplacement["reserveForRunning"]>[0];

/** What the relay of a stream does for its moves. */
interface StreamMovesCallbacks {
    /** Called with a chain over which the request is to be sent. */
    onReserved(reservedChain: ReservedChain): void;
    /** Called when an attempt was aborted. */
    onEnded(attempt: StreamAttempt, end: StreamAttemptEnd): void;
}

/** Moves a stream between chains when endpoints are suspect or lost. */
export class StreamMoves {
    private readonly state: StreamState;
    private readonly callbacks: StreamMovesCallbacks;
    private obstacle = "It was not looked for.";

    private constructor(state: StreamState, callbacks: StreamMovesCallbacks) {
        this.state = state;
        this.callbacks = callbacks;
    }

    /** Creates the moves of a stream. */
    static create(state: StreamState, callbacks: StreamMovesCallbacks): StreamMoves {
        return new StreamMoves(state, callbacks);
    }

    /** Gets why the last search for a second chain found none, for the log. */
    getObstacle(): string {
        return this.obstacle;
    }

    /**
     * Records why no second chain is searched.
     * @param cause - Why the stream stays where it is.
     */
    noteStay(cause: string): void {
        this.obstacle = cause;
    }

    /**
     * Chooses another chain with the same first stage.
     * @param avoid - Ids of endpoints that block the stream, which the chain must not use.
     */
    chooseReroute(avoid: ReadonlySet<string>): RelayStage[] | undefined {
        const [firstStage] = this.state.attempts.getStages() ?? [];
        if (firstStage === undefined || avoid.has(firstStage.endpoint.id) || this.state.quarantine.isHeld()) {
            return undefined;
        }
        const all = new Set([...this.state.avoided, ...avoid]);
        return this.state.chains.choose({ avoid: all, firstStage, mayOvercommit: true, mayBeFull: false });
    }

    /**
     * Gets a function that records that endpoints of the chains in progress have crashed, also if the stream has left them by then. If the
     * request had just begun to run on them, it may have caused the crash.
     */
    captureRuns(): (crashedIds: ReadonlySet<string>) => void {
        const runs = this.state.attempts.list().map(({ stages, sentAt, firstEventAt }) => ({
            stages,
            sentAt,
            firstEventAt,
        }));
        const at = this.state.environment.clock.getMonotonicTime();
        return crashedIds => {
            for (const { stages, sentAt, firstEventAt } of runs) {
                for (const { endpoint } of stages) {
                    if (crashedIds.has(endpoint.id)) {
                        this.state.quarantine.noteBreak(endpoint.id, sentAt, at, { firstEventAt, isDown: true });
                    }
                }
            }
        };
    }

    /** Records that the endpoints have moved an attempt to other later stages. */
    completeReroute(attempt: StreamAttempt, stages: RelayStage[]): void {
        if (!this.state.attempts.has(attempt)) {
            return;
        }
        attempt.reservation.release();
        attempt.stages = stages;
        attempt.reservation = this.state.chains.reserve(stages);
        attempt.lastProgressAt = this.state.environment.clock.getMonotonicTime();
        this.state.logger.writeReroute(stages);
    }

    /**
     * Sends the stream over another chain too if there is one and the stream may continue there. The attempt in use goes on until one of
     * both makes progress: an endpoint that is only silent may still send the rest of the answer, and the endpoints of the other chain may
     * refuse it. The suspects are not avoided any more once they are heard again.
     * @param suspects - Ids of the endpoints that may be lost.
     * @param cause - Why they are suspected.
     */
    hedge(suspects: readonly string[], cause: string): void {
        const attempt = this.state.attempts.getCurrent();
        if (attempt === undefined) {
            return;
        }
        const isUnsent = attempt.exchange?.getSentTime() === undefined;
        const isOnly = this.state.attempts.isOnly(attempt);
        if (isUnsent && !(isOnly && this.state.answer.hasRun())) {
            this.abandonChain(suspects, cause);
            return;
        }
        const firstStages = this.state.attempts.list().map(({ stages }) => stages[0]!.endpoint.id);
        const replacement = this.reserveReplacement({
            avoid: [...suspects, ...firstStages],
            maySuspect: false,
            // Streams that wait for slow endpoints or links would otherwise move to and fro, which makes both slower.
            mayReturn: false,
        });
        if (replacement === undefined) {
            return;
        }
        if (isUnsent) {
            attempt.exchange?.abort();
            this.callbacks.onEnded(attempt, { isNotRun: true, isUnsent, cause, avoid: [], replacement });
            return;
        }
        this.sendBeside(replacement, cause);
    }

    /**
     * Sends a stream that waits for its first event over another chain too, if that has free capacity. Of the retries, it leaves those that
     * streams which have begun may need. A stream has one such chain, and stays in its place if no byte of it was sent yet.
     * @param slow - Ids of the endpoints whose first events are late.
     * @param isUrgent - Whether its caller may leave soon. Otherwise it leaves a retry for a stream of which that is so.
     */
    hedgeUnbegun(slow: ReadonlySet<string>, isUrgent: boolean): void {
        const attempt = this.state.attempts.getCurrent();
        const isOnly = attempt !== undefined && this.state.attempts.isOnly(attempt);
        if (!isOnly || attempt.exchange?.getSentTime() === undefined || this.state.answer.isBegun()) {
            this.obstacle = isOnly ? "It was not sent yet." : "It was sent over another chain too.";
            return;
        }
        const replacement = this.reserveReplacement({
            avoid: [...slow],
            maySuspect: false,
            mayReturn: false,
            mayOvercommit: false,
            retriesLeft: isUrgent ? 0 : 1,
        });
        if (replacement !== undefined) {
            this.sendBeside(replacement, "the first event is late while those of other first stages are not.");
        }
    }

    /**
     * Continues over another chain, if there is one, because the chain in use is known to be lost. Otherwise the stream stays where it is
     * until it is told again.
     * @param lost - Ids of the endpoints that are lost.
     * @param cause - Why they are.
     */
    leaveLostChain(lost: readonly string[], cause: string): void {
        const attempt = this.state.attempts.getCurrent();
        const replacement = this.reserveReplacement({ avoid: lost, maySuspect: true, mayReturn: false });
        if (attempt !== undefined && replacement !== undefined) {
            attempt.exchange?.abort();
            this.callbacks.onEnded(attempt, { isNotRun: false, cause, avoid: [], replacement });
        }
    }

    /**
     * Abandons the chain in use, because endpoints of it are lost, and continues over another one.
     * @param avoid - Ids of the lost endpoints.
     * @param cause - Why the chain is abandoned.
     */
    abandonChain(avoid: readonly string[], cause: string): void {
        const attempt = this.state.attempts.getCurrent();
        if (attempt !== undefined) {
            this.abandon(attempt, avoid, cause);
        }
    }

    /** Abandons the attempts that pass through an endpoint that has ended, but for the one in use. */
    abandonEarlierAttempts(endpointId: string, cause: string): void {
        const current = this.state.attempts.getCurrent();
        for (const attempt of this.state.attempts.list()) {
            if (attempt !== current && attempt.stages.some(({ endpoint }) => endpoint.id === endpointId)) {
                this.abandon(attempt, [], cause);
            }
        }
    }

    /**
     * Sends a stream over another connection too if the path of the one in use seems lost and the stream may continue. Any other stream
     * waits, since the path may return.
     * @returns Whether it was sent.
     */
    continueIfPathLost(): boolean {
        if (!this.state.attempts.isPathLost()) {
            return false;
        }
        const replacement = this.reserveReplacement({ avoid: [], maySuspect: true, mayReturn: true });
        if (replacement === undefined) {
            return false;
        }
        const cause = "the path to the first stage is lost.";
        this.sendBeside(replacement, cause);
        return true;
    }

    private abandon(attempt: StreamAttempt, avoid: readonly string[], cause: string): void {
        const isUnsent = attempt.exchange?.getSentTime() === undefined;
        attempt.exchange?.abort();
        this.callbacks.onEnded(attempt, { isNotRun: isUnsent, isUnsent, cause, avoid });
    }

    /** Sends the request over a reserved chain while it still runs on another one. */
    private sendBeside(replacement: ReservedChain, cause: string): void {
        const { logger, attemptLimit, runs } = this.state;
        logger.writeHedge({ stages: replacement.stages, cause, attempts: attemptLimit, runs });
        this.callbacks.onReserved(replacement);
    }

    /** Reserves a chain for a request that still runs on another one, unless endpoints have just refused it. */
    private reserveReplacement(
        { avoid, ...requirements }: Omit<RunningRequirements, "avoid"> & { avoid: readonly string[]; },
    ): ReservedChain | undefined {
        const now = this.state.environment.clock.getMonotonicTime();
        const avoided = new Set([...this.state.avoided, ...this.state.pacing.listRefusing(now), ...avoid]);
        const reserved = this.state.pacing.getPause(now) > 0
            ? Err("Endpoints have just refused it.")
            : this.state.replacement.reserveForRunning({ avoid: avoided, ...requirements });
        if (reserved.ok) {
            return reserved.val;
        }
        this.obstacle = reserved.val;
        return undefined;
    }
}
