import type { TimerHandle } from "../../../process/clock.ts";
import { events } from "../../../process/logging/events.ts";
import { ProcessorAccount } from "../../../process/loop/processorAccount.ts";
import { ProcessorCause } from "../../../process/loop/processorCause.ts";
import type { EngineModel } from "../../../version/routing/engineModel.ts";
import type { StartBound } from "../../admission/start/startBound.ts";
import type { AnswerEnd } from "../answers/answerEnd.ts";
import type { AnswerHead } from "../answers/answerHead.ts";
import { createRefusal } from "../answers/createRefusal.ts";
import type { RelayRefusal } from "../answers/relayRefusal.ts";
import type { ReservedChain } from "../chains/reservedChain.ts";
import { createQueuedRelay } from "../queue/createQueuedRelay.ts";
import type { QueuedRelay } from "../queue/queuedRelay.ts";
import type { RelayEnvironment } from "../relayEnvironment.ts";
import type { RelayTask } from "../relayTask.ts";
import { RequestGuard } from "../requestGuard.ts";
import { createStopCause } from "../stop/createStopCause.ts";
import { estimateAnswerDuration } from "../stop/estimateAnswerDuration.ts";
import { getAnswerSize } from "../stop/getAnswerSize.ts";
import type { OpenRequest } from "../stop/openRequest.ts";
import { OpenRequestState } from "../stop/openRequestState.ts";
import { AttemptSender } from "./attemptSender.ts";
import { createStreamState } from "./createStreamState.ts";
import { EventVerdict } from "./eventVerdict.ts";
import { noteProgress } from "./noteProgress.ts";
import type { RunningAttempts } from "./runningAttempts.ts";
import type { StreamAttempt } from "./streamAttempt.ts";
import type { StreamAttemptEnd } from "./streamAttemptEnd.ts";
import type { StreamEvent } from "./streamEvent.ts";
import { StreamMoves } from "./streamMoves.ts";
import { StreamResumption } from "./streamResumption.ts";
import type { StreamState } from "./streamState.ts";

const account = ProcessorAccount.ofProcess;

/**
 * Forwards a streamed request over a chain of endpoints and its events to the caller as they arrive. If the chain is lost,
 * the stream continues after its last event over another chain, in the same answer. The ids of the forwarded events
 * increase strictly, also across attempts.
 */
export class StreamRelay implements OpenRequest {
    readonly task: RelayTask;
    /** The attempts in progress. */
    readonly attempts: RunningAttempts;
    /** Moves to other chains. */
    readonly moves: StreamMoves;
    /** Whether a move to other later stages is in progress. */
    isRerouting = false;
    private readonly state: StreamState;
    private readonly resumption: StreamResumption;
    private readonly guard: RequestGuard;
    private readonly sender: AttemptSender;
    private readonly onDone: () => void;
    private timer: TimerHandle | undefined;
    private queuedRelay: QueuedRelay | undefined;
    /** Monotonic time in milliseconds at which the first byte was sent to an endpoint. */
    private firstSentAt: number | undefined;
    private isDone = false;

    private constructor(state: StreamState, onDone: () => void) {
        const { environment, task, chains, attempts, attemptLimit, pacing, progress, answer } = state;
        this.state = state;
        this.task = task;
        this.attempts = attempts;
        this.onDone = onDone;
        const { log } = environment;
        this.guard = RequestGuard.create({ log, requestId: task.request.id, end: cause => this.endOnError(cause) });
        const onReserved = (reservedChain: ReservedChain) => this.guard.run(() => this.continueOver(reservedChain));
        const onEnded = (attempt: StreamAttempt, end: StreamAttemptEnd) => this.endAttempt(attempt, end);
        this.moves = StreamMoves.create(state, { onReserved, onEnded });
        this.resumption = StreamResumption.create(state, {
            onReserved,
            onDue: (cause, isRetry) => this.guard.run(() => this.startAttempt(cause, isRetry)),
            onHopeless: cause => this.guard.run(() => this.giveUp(cause)),
        });
        this.sender = AttemptSender.create({
            environment,
            task,
            chains,
            guard: this.guard,
            getLastEventId: () => progress.getLastId(),
            isAnswerBegun: () => answer.isBegun(),
            isRunning: attempt => attempts.has(attempt),
            isOnly: attempt => attempts.isOnly(attempt),
            onEvent: (attempt, event, head) => this.handleEvent(attempt, event, head),
            onComplete: (attempt, head) => this.complete(attempt, head),
            onRefused: endpointId => {
                attemptLimit.noteRefusal();
                pacing.noteRefusal(endpointId, this.getTime());
            },
            onEnded,
        });
    }

    /**
     * Creates the relay of a request; nothing is sent before {@link start}.
     * @param environment - Dependencies of relayed requests.
     * @param task - The request.
     * @param model - Parameters of the requested model.
     * @param onDone - Called once when the caller has its answer or has disconnected.
     */
    static create(
        environment: RelayEnvironment,
        task: RelayTask,
        model: EngineModel,
        onDone: () => void,
    ): StreamRelay {
        return new StreamRelay(createStreamState(environment, task, model), onDone);
    }

    /** Sends the request over the best chain. */
    start(): void {
        const { sink, dueAt } = this.task;
        sink.onClosed(() => this.finish({ outcome: "callerGone", cause: "" }));
        const delay = Math.max(0, dueAt - this.getTime());
        this.timer = this.state.environment.clock.setTimer(delay, () => this.guard.run(() => this.handleTimeout()));
        this.guard.run(() => this.startAttempt("no chain of endpoints has free capacity."));
    }

    /** Gets what happens to the request. */
    getState(): OpenRequestState {
        if (this.attempts.getCurrent() !== undefined) {
            return OpenRequestState.Running;
        }
        return this.state.answer.isBegun() ? OpenRequestState.Resuming : OpenRequestState.Waiting;
    }

    /** Gets the time that the request needs for its answer, in milliseconds. */
    getNeededTime(): number {
        return estimateAnswerDuration(this.state.environment, this.task);
    }

    /** Ends the request because this node ends. */
    endAtStop(): void {
        const cause = createStopCause(this.getState());
        this.guard.run(() => this.finish(this.state.answer.stop(cause, this.attempts.isAnySent())));
    }

    /**
     * Sends the request over the best chain, queues it, or ends it.
     * @param cause - Why there is no answer yet.
     * @param isRetry - Whether this is a retry, which counts against the retry budget.
     */
    private startAttempt(cause: string, isRetry = false): void {
        const isBegun = this.state.answer.isBegun();
        const doubtMilliseconds = isBegun ? this.state.quarantine.getDoubt() : 0;
        if (doubtMilliseconds > 0) {
            this.resumption.waitForProof(cause, isRetry, doubtMilliseconds);
            return;
        }
        if (this.endIfHeld(cause)) {
            return;
        }
        const mayAttempt = this.state.attemptLimit.mayAttemptAgain();
        const isKept = isBegun || this.resumption.isSearching() || !mayAttempt && this.mayResume();
        if (!(isKept ? this.state.attemptLimit.mayRunAgain() : mayAttempt)) {
            this.giveUp(`${cause} The request may not be sent again.`);
            return;
        }
        if (isKept) {
            this.resumption.resume(cause, isRetry);
            return;
        }
        const { environment, task, chains, avoided, pacing } = this.state;
        for (const id of pacing.listRecovered(this.getTime())) {
            avoided.delete(id);
        }
        this.queuedRelay = createQueuedRelay({
            environment,
            task,
            chains,
            avoided,
            isRetry,
            start: reservedChain => {
                this.queuedRelay = undefined;
                this.guard.run(() => this.startReserved(reservedChain, cause));
            },
            refuse: (reason, retryAfterMilliseconds, bound) => {
                this.queuedRelay = undefined;
                this.guard.run(() => this.handleRefusal(`${cause} ${reason}`, isRetry, retryAfterMilliseconds, bound));
            },
        });
        environment.queue.submit(this.queuedRelay);
    }

    /** Goes on outside of the queue if the request may have run, unless it was quarantined while it waited. Otherwise rejects it. */
    private handleRefusal(cause: string, isRetry: boolean, retryAfterMilliseconds: number, bound: StartBound): void {
        if (!this.mayResume()) {
            this.reject(cause, retryAfterMilliseconds, bound);
        }
        else if (!this.endIfHeld(cause)) {
            this.resumption.resume(cause, isRetry);
        }
    }

    /** Starts a queued request on its reserved chain, unless the request was quarantined while it waited. */
    private startReserved(reservedChain: ReservedChain, cause: string): void {
        if (this.endIfHeld(cause)) {
            this.state.environment.queue.noteEnd(this.state.chains.getTokens(), undefined);
            this.refundUnsent(reservedChain);
            reservedChain.reservation.release();
            return;
        }
        this.beginAttempt(reservedChain);
    }

    /** Ends the request if it is held back. Returns whether it is. */
    private endIfHeld(cause: string): boolean {
        const hold = this.state.quarantine.getHold();
        if (hold !== undefined) {
            this.giveUp(`${cause} Endpoints crash while they run this request.`, createRefusal.heldBack(hold));
        }
        return hold !== undefined;
    }

    /** Continues over a chain that was reserved without the queue. */
    private continueOver(reservedChain: ReservedChain): void {
        this.state.environment.queue.noteStart();
        this.beginAttempt(reservedChain);
    }

    private reject(cause: string, retryAfterMilliseconds: number, bound: StartBound): void {
        const { log, retryDetector } = this.state.environment;
        retryDetector.observeRefusal(this.getTime());
        log.write(events.relayRejectedAtCapacity, {
            request: this.task.request.id,
            rank: this.task.rank,
            bound,
            cause,
            isReturn: this.task.isReturn,
            retryAfterMilliseconds: Math.round(retryAfterMilliseconds),
            waitedMilliseconds: Math.round(this.getTime() - this.task.request.arrivedAt),
        });
        this.giveUp(cause, createRefusal.notRun(cause, retryAfterMilliseconds));
    }

    private beginAttempt({ stages, reservation, isRetry }: ReservedChain): void {
        this.state.attemptLimit.noteAttempt();
        const now = this.getTime();
        const attempt: StreamAttempt = {
            stages,
            run: {
                endpoint: stages[0]!.endpoint,
                isBroken: false,
                getSentTime: () => attempt.exchange?.getSentTime(),
            },
            sentAt: now,
            reservation,
            isRetry,
            exchange: undefined,
            lastProgressAt: now,
            firstEventAt: undefined,
            isPaused: false,
        };
        this.attempts.add(attempt);
        this.state.runs.add(attempt.run);
        account.runPart(ProcessorCause.StreamHead, () => this.sender.send(attempt));
    }

    private handleEvent(attempt: StreamAttempt, event: StreamEvent, head: AnswerHead): void {
        account.count(ProcessorCause.StreamEvent);
        const now = this.getTime();
        this.state.answer.noteRun();
        if (event.id === undefined) {
            // Comments keep a connection open. They are no progress, which callers wait for, so they don't decide which of several attempts
            // begins the answer.
            const mayWrite = this.state.answer.isBegun() || this.attempts.isOnly(attempt);
            if (mayWrite && attempt === this.attempts.getCurrent()) {
                this.write(attempt, head, event.bytes);
            }
            return;
        }
        this.state.pacing.noteProgress();
        noteProgress(this.state, attempt, now);
        const verdict = this.state.progress.accept(event.id, now);
        if (verdict === EventVerdict.Gap) {
            attempt.exchange?.abort();
            this.endAttempt(attempt, { isNotRun: false, cause: "an event of the stream is missing.", avoid: [] });
            return;
        }
        if (verdict === EventVerdict.Excess) {
            // What was passed on was no answer either, so that another endpoint can't continue it.
            this.state.environment.health.markRejecting(attempt.stages[0]!.endpoint.id, now);
            this.giveUp("the stream has more events than its request allows tokens.");
            return;
        }
        if (verdict === EventVerdict.Pass) {
            this.endOtherAttempts(attempt);
            this.write(attempt, head, event.bytes);
        }
    }

    private write(attempt: StreamAttempt, head: AnswerHead, bytes: Buffer): void {
        if (!this.state.answer.isBegun() && this.isResumable()) {
            this.state.environment.streamRetries.noteBegun(this.task);
        }
        this.state.answer.write(head, bytes);
        this.state.flowControl.review(attempt);
    }

    /** Ends the attempts beside one that makes progress. */
    private endOtherAttempts(attempt: StreamAttempt): void {
        for (const other of this.attempts.listOthers(attempt)) {
            const isUnsent = other.exchange?.getSentTime() === undefined;
            other.exchange?.abort();
            this.releaseAttempt(other);
            if (isUnsent) {
                this.removeRun(other);
            }
            this.state.logger.writeSuperseded(other, attempt.stages);
        }
    }

    private complete(attempt: StreamAttempt, head: AnswerHead): void {
        this.endOtherAttempts(attempt);
        this.state.quarantine.markSafe(attempt.firstEventAt ?? attempt.sentAt);
        this.state.quarantine.markComplete();
        this.recordAnswerTime();
        this.finish(this.state.answer.complete(head));
    }

    private recordAnswerTime(): void {
        const firstAt = this.state.progress.getFirstTime();
        // The rest of an answer that its caller resumes says little of whole ones.
        if (firstAt !== undefined && this.task.request.lastEventId === 0) {
            const size = getAnswerSize(this.task);
            this.state.environment.answerTimes.record(this.task.route.name, this.getTime() - firstAt, size);
        }
    }

    private endAttempt(attempt: StreamAttempt, end: StreamAttemptEnd): void {
        if (this.isDone) {
            return;
        }
        if (!this.attempts.has(attempt)) {
            this.noteBreak(attempt, end);
            return;
        }
        this.releaseAttempt(attempt);
        if (end.isNotRun) {
            this.removeRun(attempt);
        }
        else {
            this.state.answer.noteRun();
        }
        this.noteBreak(attempt, end);
        if (end.failure !== undefined) {
            this.state.answer.noteFailure(end.failure);
        }
        for (const id of end.avoid) {
            this.state.avoided.add(id);
            if (end.isUnsent === true) {
                this.state.pacing.noteRefusal(id, this.getTime());
            }
            else if (end.isDown === false && attempt.firstEventAt !== undefined) {
                this.state.pacing.noteBreakAfterProgress(id, this.getTime());
            }
            else if (!end.isNotRun) {
                this.state.pacing.noteFailure(id);
            }
        }
        const memoryPart = this.state.chains.getUsedMemoryFraction(attempt.stages[0]!.endpoint);
        this.state.logger.writeFailure({
            attempt,
            end,
            attempts: this.state.attemptLimit,
            runs: this.state.runs,
            memoryPart,
        });
        if (end.replacement !== undefined) {
            this.continueOver(end.replacement);
            return;
        }
        if (this.attempts.getCurrent() !== undefined) {
            return;
        }
        if (end.isNotRun || this.isResumable()) {
            this.startAttempt(end.cause, !end.isUnsent || this.firstSentAt !== undefined);
            return;
        }
        this.giveUp(end.cause);
    }

    /** Records that the connection of an attempt broke. The attempt may have been given up while its path was tested. */
    private noteBreak(attempt: StreamAttempt, { brokenAt, isDown }: StreamAttemptEnd): void {
        if (brokenAt === undefined) {
            return;
        }
        attempt.run.isBroken = true;
        const sentAt = attempt.exchange?.getSentTime() ?? attempt.sentAt;
        const { stages, firstEventAt } = attempt;
        this.state.quarantine.noteBreak(stages[0]!.endpoint.id, sentAt, brokenAt, { firstEventAt, isDown });
    }

    /** Takes back the run of an attempt that surely was not run. */
    private removeRun(attempt: StreamAttempt): void {
        this.state.attemptLimit.noteNotRun();
        this.state.runs.remove(attempt.run);
        attempt.reservation.links.refund();
    }

    /** Removes an attempt that ends and releases its resources. */
    private releaseAttempt(attempt: StreamAttempt): void {
        this.attempts.remove(attempt);
        const heldMilliseconds = attempt.firstEventAt !== undefined ? this.getTime() - attempt.sentAt : undefined;
        this.state.environment.queue.noteEnd(this.state.chains.getTokens(), heldMilliseconds);
        const sentAt = attempt.exchange?.getSentTime();
        this.firstSentAt ??= sentAt;
        if (sentAt === undefined) {
            this.refundUnsent(attempt);
        }
        attempt.reservation.release();
    }

    /** Returns what was taken from the rate limit and the retry budget for an attempt of which no byte was sent. */
    private refundUnsent({ stages, isRetry }: Pick<ReservedChain, "stages" | "isRetry">): void {
        this.state.chains.refundLimit(stages);
        if (isRetry) {
            this.state.environment.retryBudget.receive(1, this.getTime());
        }
    }

    /** Checks if a request that may have run without an answer goes on instead of ending with an unknown outcome. */
    private mayResume(): boolean {
        return this.isResumable() && this.state.answer.hasRun();
    }

    private isResumable(): boolean {
        return this.task.route.isResumable;
    }

    /**
     * Ends the request without a complete answer.
     * @param cause - Why it ends.
     * @param notRun - Answer to the caller if the request has not run.
     */
    private giveUp(cause: string, notRun: RelayRefusal = createRefusal.notRun(cause)): void {
        this.finish(this.state.answer.giveUp(cause, notRun));
    }

    /** Ends the request after an unexpected error, which may have come before it was recorded that an endpoint runs the request. */
    private endOnError(cause: string): void {
        if (this.firstSentAt !== undefined || this.attempts.isAnySent()) {
            this.state.answer.noteRun();
        }
        this.giveUp(cause);
    }

    private handleTimeout(): void {
        this.finish(this.state.answer.timeOut(this.attempts.isAnySent()));
    }

    private finish({ outcome, cause }: AnswerEnd): void {
        if (this.isDone) {
            return;
        }
        this.isDone = true;
        this.timer?.cancel();
        this.resumption.cancel();
        this.state.environment.streamRetries.noteEnd(this.task);
        if (this.queuedRelay !== undefined) {
            this.state.environment.queue.remove(this.queuedRelay);
        }
        const current = this.attempts.getCurrent();
        const isQueuedAtLink = this.attempts.isQueuedAtLink();
        for (const attempt of this.attempts.list()) {
            attempt.exchange?.abort();
            this.releaseAttempt(attempt);
        }
        const { firstSentAt } = this;
        this.state.logger.writeEnd({
            outcome,
            cause,
            attempts: this.state.attemptLimit,
            attempt: current,
            firstSentAt,
            isQueuedAtLink,
            obstacle: this.moves.getObstacle(),
            pausedMilliseconds: this.state.flowControl.getPausedTime(),
        });
        this.onDone();
    }

    private getTime(): number {
        return this.state.environment.clock.getMonotonicTime();
    }
}
