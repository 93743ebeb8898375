import type { TimerHandle } from "../../../process/clock.ts";
import { events } from "../../../process/logging/events.ts";
import { ProcessorAccount } from "../../../process/loop/processorAccount.ts";
import { ProcessorCause } from "../../../process/loop/processorCause.ts";
import { Err } from "../../../result.ts";
import type { EngineModel } from "../../../version/routing/engineModel.ts";
import type { StartBound } from "../../admission/start/startBound.ts";
import type { AnswerEnd } from "../answers/answerEnd.ts";
import type { AnswerHead } from "../answers/answerHead.ts";
import { createRefusal } from "../answers/createRefusal.ts";
import type { RelayRefusal } from "../answers/relayRefusal.ts";
import { AttemptLimit } from "../attemptLimit.ts";
import { RelayChains } from "../chains/relayChains.ts";
import type { RelayStage } from "../chains/relayStage.ts";
import type { ReservedChain } from "../chains/reservedChain.ts";
import { silenceMilliseconds } from "../detection/silenceMilliseconds.ts";
import { listDataCentres } from "../links/listDataCentres.ts";
import { PossibleRuns } from "../possibleRuns.ts";
import { TaskQuarantine } from "../quarantine/taskQuarantine.ts";
import { createQueuedRelay } from "../queue/createQueuedRelay.ts";
import type { QueuedRelay } from "../queue/queuedRelay.ts";
import type { RelayEnvironment } from "../relayEnvironment.ts";
import type { RelayTask } from "../relayTask.ts";
import { RequestGuard } from "../requestGuard.ts";
import { AttemptSender } from "./attemptSender.ts";
import { ChainReplacement } from "./chainReplacement.ts";
import { EventVerdict } from "./eventVerdict.ts";
import { ResumePacing } from "./resumePacing.ts";
import { RunningAttempts } from "./runningAttempts.ts";
import { StreamAnswer } from "./streamAnswer.ts";
import type { StreamAttempt } from "./streamAttempt.ts";
import type { StreamAttemptEnd } from "./streamAttemptEnd.ts";
import type { StreamEvent } from "./streamEvent.ts";
import { StreamLogger } from "./streamLogger.ts";
import { StreamProgress } from "./streamProgress.ts";

const account = ProcessorAccount.ofProcess;
/** A request that crashes the endpoint that runs it does so within a few steps. After this time it is considered safe. */
const safeAfterMilliseconds = 250;
/** Time until a chain is searched again for a stream that has begun. It doubles with each search that finds none, up to the maximum. */
const initialSearchMilliseconds = 50;
const maximumSearchMilliseconds = 400;

/**
 * Forwards a streamed request over a chain of endpoints and its events to the caller as they arrive. If the chain is lost,
 * the stream continues after its last event over another chain, in the same answer. The ids of the forwarded events
 * increase strictly, also across attempts.
 */
export class StreamRelay {
    readonly task: RelayTask;
    private readonly environment: RelayEnvironment;
    private readonly chains: RelayChains;
    private readonly runs: PossibleRuns;
    private readonly attemptLimit: AttemptLimit;
    private readonly quarantine: TaskQuarantine;
    private readonly replacement: ChainReplacement;
    private readonly guard: RequestGuard;
    private readonly progress: StreamProgress;
    private readonly answer: StreamAnswer;
    private readonly logger: StreamLogger;
    private readonly sender: AttemptSender;
    private readonly onDone: () => void;
    private readonly avoided = new Set<string>();
    private readonly pacing = ResumePacing.create();
    private readonly attempts = RunningAttempts.create();
    private timer: TimerHandle | undefined;
    /** Timer of the next search for a chain that a stream that has begun can continue on. */
    private resumeTimer: TimerHandle | undefined;
    private resumeSearches = 0;
    private queuedRelay: QueuedRelay | undefined;
    /** Monotonic time in milliseconds at which the first byte was sent to an endpoint. */
    private firstSentAt: number | undefined;
    private isDone = false;
    /** Whether a move to another chain is in progress. */
    isRerouting = false;

    private constructor(environment: RelayEnvironment, task: RelayTask, model: EngineModel, onDone: () => void) {
        this.environment = environment;
        this.task = task;
        this.onDone = onDone;
        this.runs = PossibleRuns.create(environment.ends, task.route.maximumAttempts);
        this.chains = RelayChains.create(environment, task, model, this.runs);
        this.attemptLimit = AttemptLimit.create();
        this.quarantine = TaskQuarantine.create(environment, task);
        const { chains, attemptLimit, quarantine } = this;
        this.replacement = ChainReplacement.create({ environment, task, chains, attemptLimit, quarantine });
        const { log } = environment;
        this.guard = RequestGuard.create({ log, requestId: task.request.id, end: cause => this.endOnError(cause) });
        this.progress = StreamProgress.create(task.request.lastEventId);
        this.answer = StreamAnswer.create(task.sink);
        this.logger = StreamLogger.create(environment, task, this.progress);
        this.sender = AttemptSender.create({
            environment,
            task,
            chains,
            guard: this.guard,
            getLastEventId: () => this.progress.getLastId(),
            isAnswerBegun: () => this.answer.isBegun(),
            isRunning: attempt => this.attempts.has(attempt),
            onEvent: (attempt, event, head) => this.handleEvent(attempt, event, head),
            onComplete: (attempt, head) => this.complete(attempt, head),
            onRefused: endpointId => {
                this.attemptLimit.noteRefusal();
                this.pacing.noteRefusal(endpointId, this.getTime());
            },
            onEnded: (attempt, end) => this.endAttempt(attempt, end),
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
        return new StreamRelay(environment, task, model, onDone);
    }

    /** Sends the request over the best chain. */
    start(): void {
        const { sink, dueAt } = this.task;
        sink.onClosed(() => this.finish({ outcome: "callerGone", cause: "" }));
        const delay = Math.max(0, dueAt - this.getTime());
        this.timer = this.environment.clock.setTimer(delay, () => this.guard.run(() => this.handleTimeout()));
        this.guard.run(() => this.startAttempt("no chain of endpoints has free capacity."));
    }

    /** Gets the chain in use; undefined between attempts. */
    getStages(): readonly RelayStage[] | undefined {
        return this.attempts.getCurrent()?.stages;
    }

    /** Gets the monotonic time of the last progress of the chain in use, in milliseconds. */
    getLastProgress(): number | undefined {
        return this.attempts.getCurrent()?.lastProgressAt;
    }

    /** Gets the data centres of the chain in use, in order. */
    getDataCentres(): string[] {
        return listDataCentres(this.getStages() ?? []);
    }

    /** Gets the monotonic time at which the request was sent to the chain in use, in milliseconds. */
    getSentAt(): number | undefined {
        return this.attempts.getCurrent()?.sentAt;
    }

    /** Checks if the chain in use has sent an event. */
    hasEvents(): boolean {
        return this.attempts.getCurrent()?.firstEventAt !== undefined;
    }

    /** Checks if the stream may be queued at a link between data centres. */
    isQueuedAtLink(): boolean {
        return this.attempts.getCurrent()?.reservation.links.isQueued() === true;
    }

    /**
     * Chooses another chain with the same first stage.
     * @param avoid - Ids of endpoints that block the stream, which the chain must not use.
     */
    chooseReroute(avoid: ReadonlySet<string>): RelayStage[] | undefined {
        const [firstStage] = this.getStages() ?? [];
        if (firstStage === undefined || avoid.has(firstStage.endpoint.id) || this.quarantine.isHeld()) {
            return undefined;
        }
        const all = new Set([...this.avoided, ...avoid]);
        return this.chains.choose({ avoid: all, firstStage, mayOvercommit: true, mayBeFull: false });
    }

    /** Gets the attempt in use, to recognize it later; undefined between attempts. */
    getAttempt(): StreamAttempt | undefined {
        return this.attempts.getCurrent();
    }

    /**
     * Gets a function that records that endpoints of the chains in progress have crashed, also if the stream has left them by then. If the
     * request had just begun to run on them, it may have caused the crash.
     */
    captureRuns(): (crashedIds: ReadonlySet<string>) => void {
        const runs = this.attempts.list().map(({ stages, sentAt, firstEventAt }) => ({ stages, sentAt, firstEventAt }));
        const at = this.getTime();
        return crashedIds => {
            for (const { stages, sentAt, firstEventAt } of runs) {
                for (const { endpoint } of stages) {
                    if (crashedIds.has(endpoint.id)) {
                        this.quarantine.noteCrash(endpoint.id, sentAt, at, { firstEventAt, isDown: true });
                    }
                }
            }
        };
    }

    /** Records that the stream waits for an endpoint that is silent, not for a link between data centres. */
    noteWaitForEndpoint(): void {
        this.attempts.getCurrent()?.reservation.links.noteOtherCause();
    }

    /** Records that the endpoints have moved an attempt to other later stages. */
    completeReroute(attempt: StreamAttempt, stages: RelayStage[]): void {
        if (!this.attempts.has(attempt)) {
            return;
        }
        attempt.reservation.release();
        attempt.stages = stages;
        attempt.reservation = this.chains.reserve(stages);
        attempt.lastProgressAt = this.getTime();
        this.logger.writeReroute(stages);
    }

    /**
     * Sends the stream over another chain too if there is one and the stream may continue there. The attempt in use goes on until one of
     * both makes progress: an endpoint that is only silent may still send the rest of the answer, and the endpoints of the other chain may
     * refuse it. The suspects are not avoided any more once they are heard again.
     * @param suspects - Ids of the endpoints that may be lost.
     * @param cause - Why they are suspected.
     */
    hedge(suspects: readonly string[], cause: string): void {
        const attempt = this.attempts.getCurrent();
        if (attempt === undefined) {
            return;
        }
        const isUnsent = attempt.exchange?.getSentTime() === undefined;
        const isOnly = this.attempts.listOthers(attempt).length === 0;
        if (isUnsent && !(isOnly && this.answer.hasRun())) {
            this.abandonChain(suspects, cause);
            return;
        }
        const firstStages = this.attempts.list().map(({ stages }) => stages[0]!.endpoint.id);
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
            this.endAttempt(attempt, { isNotRun: true, isUnsent, cause, avoid: [], replacement });
            return;
        }
        this.logger.writeHedge({ stages: replacement.stages, cause, attempts: this.attemptLimit, runs: this.runs });
        this.continueOver(replacement);
    }

    /**
     * Continues over another chain, if there is one, because the chain in use is known to be lost. Otherwise the stream stays where it is
     * until it is told again.
     * @param lost - Ids of the endpoints that are lost.
     * @param cause - Why they are.
     */
    leaveLostChain(lost: readonly string[], cause: string): void {
        const attempt = this.attempts.getCurrent();
        const replacement = this.reserveReplacement({ avoid: lost, maySuspect: true, mayReturn: false });
        if (attempt !== undefined && replacement !== undefined) {
            attempt.exchange?.abort();
            this.endAttempt(attempt, { isNotRun: false, cause, avoid: [], replacement });
        }
    }

    /**
     * Abandons the chain in use, because endpoints of it are lost, and continues over another one.
     * @param avoid - Ids of the lost endpoints.
     * @param cause - Why the chain is abandoned.
     */
    abandonChain(avoid: readonly string[], cause: string): void {
        const attempt = this.attempts.getCurrent();
        if (attempt !== undefined) {
            this.abandon(attempt, avoid, cause);
        }
    }

    /** Abandons the attempts that pass through an endpoint that has ended, but for the one in use. */
    abandonEarlierAttempts(endpointId: string, cause: string): void {
        const current = this.attempts.getCurrent();
        for (const attempt of this.attempts.list()) {
            if (attempt !== current && attempt.stages.some(({ endpoint }) => endpoint.id === endpointId)) {
                this.abandon(attempt, [], cause);
            }
        }
    }

    private abandon(attempt: StreamAttempt, avoid: readonly string[], cause: string): void {
        const isUnsent = attempt.exchange?.getSentTime() === undefined;
        attempt.exchange?.abort();
        this.endAttempt(attempt, { isNotRun: isUnsent, isUnsent, cause, avoid });
    }

    /** Reserves a chain for a request that still runs on another one, unless endpoints have just refused it. */
    private reserveReplacement(
        { avoid, ...requirements }: { avoid: readonly string[]; maySuspect: boolean; mayReturn: boolean; },
    ): ReservedChain | undefined {
        const now = this.getTime();
        const avoided = new Set([...this.avoided, ...this.pacing.listRefusing(now), ...avoid]);
        return this.pacing.getPause(now) > 0
            ? undefined
            : this.replacement.reserveForRunning({ avoid: avoided, ...requirements });
    }

    /**
     * Sends the request over the best chain, queues it, or ends it.
     * @param cause - Why there is no answer yet.
     * @param isRetry - Whether this is a retry, which counts against the retry budget.
     */
    private startAttempt(cause: string, isRetry = false): void {
        if (this.endIfHeld(cause)) {
            return;
        }
        const isBegun = this.answer.isBegun();
        if (!(isBegun ? this.attemptLimit.mayRunAgain() : this.attemptLimit.mayAttemptAgain())) {
            this.giveUp(`${cause} The request may not be sent again.`);
            return;
        }
        if (isBegun) {
            this.resume(cause, isRetry);
            return;
        }
        const { environment, task, chains, avoided } = this;
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
                this.guard.run(() => this.reject(`${cause} ${reason}`, retryAfterMilliseconds, bound));
            },
        });
        environment.queue.submit(this.queuedRelay);
    }

    /** Starts a queued request on its reserved chain, unless the request was quarantined while it waited. */
    private startReserved(reservedChain: ReservedChain, cause: string): void {
        if (this.endIfHeld(cause)) {
            this.environment.queue.noteEnd(this.chains.getTokens(), undefined);
            this.chains.refundLimit(reservedChain.stages);
            reservedChain.reservation.release();
            return;
        }
        this.beginAttempt(reservedChain);
    }

    /** Ends the request if it is held back. Returns whether it is. */
    private endIfHeld(cause: string): boolean {
        const hold = this.quarantine.getHold();
        if (hold !== undefined) {
            this.giveUp(`${cause} Endpoints crash while they run this request.`, createRefusal.heldBack(hold));
        }
        return hold !== undefined;
    }

    /**
     * Continues a stream that has begun as soon as there is a chain for it. It goes before requests that wait in the queue, since its caller
     * would give up sooner. Lack of capacity doesn't end it: the caller may wait longer than the endpoints are full. It ends if all endpoints
     * that may run it have broken it off.
     */
    private resume(cause: string, isRetry: boolean): void {
        const now = this.getTime();
        const isRepeated = this.resumeSearches > 0;
        const pause = this.pacing.getPause(now);
        const avoid = new Set([...this.avoided, ...this.pacing.listRefusing(now)]);
        const maySuspect = this.pacing.mayTrySuspects(now);
        const reserved = pause > 0
            ? Err("Endpoints have just refused it.")
            : this.replacement.reserve({ avoid, isRetry, isRepeated, maySuspect });
        if (reserved.ok) {
            this.resumeSearches = 0;
            this.continueOver(reserved.val);
            return;
        }
        // An endpoint that has refused the request may accept it later. One that has broken it off would only do so again.
        for (const id of this.pacing.listRefused()) {
            this.avoided.delete(id);
        }
        if (!this.chains.hasChain(this.avoided, this.task.dueAt)) {
            this.giveUp(`${cause} ${reserved.val}`);
            return;
        }
        if (!isRepeated) {
            this.logger.writeWait(`${cause} ${reserved.val}`, this.attemptLimit);
        }
        const delay = Math.max(
            pause,
            Math.min(initialSearchMilliseconds * 2 ** this.resumeSearches, maximumSearchMilliseconds),
        );
        this.resumeSearches += 1;
        this.resumeTimer = this.environment.clock.setTimer(
            delay,
            () => this.guard.run(() => this.startAttempt(cause, isRetry)),
        );
    }

    /** Continues over a chain that was reserved without the queue. */
    private continueOver(reservedChain: ReservedChain): void {
        this.environment.queue.noteStart();
        this.beginAttempt(reservedChain);
    }

    private reject(cause: string, retryAfterMilliseconds: number, bound: StartBound): void {
        const { log, retryDetector } = this.environment;
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

    private beginAttempt({ stages, reservation }: ReservedChain): void {
        this.attemptLimit.noteAttempt();
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
            exchange: undefined,
            lastProgressAt: now,
            firstEventAt: undefined,
        };
        this.attempts.add(attempt);
        this.runs.add(attempt.run);
        account.runPart(ProcessorCause.StreamHead, () => this.sender.send(attempt));
    }

    private handleEvent(attempt: StreamAttempt, event: StreamEvent, head: AnswerHead): void {
        account.count(ProcessorCause.StreamEvent);
        const now = this.getTime();
        const wasSilent = now - attempt.lastProgressAt > silenceMilliseconds;
        this.answer.noteRun();
        if (event.id === undefined) {
            // Comments keep a connection open. They are no progress, which callers wait for.
            if (attempt === this.attempts.getCurrent()) {
                this.answer.write(head, event.bytes);
            }
            return;
        }
        attempt.lastProgressAt = now;
        this.pacing.noteProgress();
        attempt.reservation.links.noteEvent(now);
        for (const { endpoint } of attempt.stages) {
            this.environment.health.markAlive(endpoint.id, now);
        }
        if (now - (attempt.firstEventAt ?? now) >= safeAfterMilliseconds) {
            this.quarantine.markSafe(attempt.firstEventAt!);
        }
        if (attempt.firstEventAt === undefined) {
            attempt.firstEventAt = now;
            this.environment.linkDelays.recordFirstEvent(
                listDataCentres(attempt.stages),
                now - attempt.sentAt,
                now,
            );
            this.environment.firstEvents.record(now - attempt.sentAt);
        }
        if (attempt.firstEventAt === now || wasSilent) {
            for (const { endpoint } of attempt.stages) {
                this.environment.health.addSuccess(endpoint.id, now);
            }
        }
        const verdict = this.progress.accept(event.id, now);
        if (verdict === EventVerdict.Gap) {
            attempt.exchange?.abort();
            this.endAttempt(attempt, { isNotRun: false, cause: "an event of the stream is missing.", avoid: [] });
            return;
        }
        if (verdict === EventVerdict.Pass) {
            this.endOtherAttempts(attempt);
            this.answer.write(head, event.bytes);
        }
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
            this.logger.writeSuperseded(other, attempt.stages);
        }
    }

    private complete(attempt: StreamAttempt, head: AnswerHead): void {
        this.endOtherAttempts(attempt);
        this.quarantine.markSafe(attempt.firstEventAt ?? attempt.sentAt);
        this.quarantine.markComplete();
        this.finish(this.answer.complete(head));
    }

    /** Checks if the path of the connection in use is known not to work. */
    isPathLost(): boolean {
        return this.attempts.getCurrent()?.exchange?.isPathLost() === true;
    }

    /** Tests the path of the connection in use. Calls back when the result is known. */
    testPath(onDone: () => void): void {
        const exchange = this.attempts.getCurrent()?.exchange;
        if (exchange === undefined) {
            onDone();
            return;
        }
        exchange.testPath(onDone);
    }

    /**
     * Sends a stream over another connection too if the path of the one in use seems lost and the stream may continue. Any other stream
     * waits, since the path may return.
     * @returns Whether it was sent.
     */
    continueIfPathLost(): boolean {
        if (!this.isPathLost()) {
            return false;
        }
        const replacement = this.reserveReplacement({ avoid: [], maySuspect: true, mayReturn: true });
        if (replacement === undefined) {
            return false;
        }
        const cause = "the path to the first stage is lost.";
        this.logger.writeHedge({ stages: replacement.stages, cause, attempts: this.attemptLimit, runs: this.runs });
        this.continueOver(replacement);
        return true;
    }

    private endAttempt(attempt: StreamAttempt, end: StreamAttemptEnd): void {
        if (this.isDone || !this.attempts.has(attempt)) {
            return;
        }
        this.releaseAttempt(attempt);
        if (end.isNotRun) {
            this.removeRun(attempt);
        }
        else {
            this.answer.noteRun();
        }
        if (end.brokenAt !== undefined) {
            attempt.run.isBroken = true;
            const sentAt = attempt.exchange?.getSentTime() ?? attempt.sentAt;
            const { firstEventAt } = attempt;
            const details = { firstEventAt, isDown: end.isDown };
            this.quarantine.noteCrash(attempt.stages[0]!.endpoint.id, sentAt, end.brokenAt, details);
        }
        if (end.failure !== undefined) {
            this.answer.noteFailure(end.failure);
        }
        for (const id of end.avoid) {
            this.avoided.add(id);
        }
        const memoryPart = this.chains.getUsedMemoryFraction(attempt.stages[0]!.endpoint);
        this.logger.writeFailure({ attempt, end, attempts: this.attemptLimit, runs: this.runs, memoryPart });
        if (end.replacement !== undefined) {
            this.continueOver(end.replacement);
            return;
        }
        if (this.attempts.getCurrent() !== undefined) {
            return;
        }
        if (end.isNotRun || this.isResumable()) {
            this.startAttempt(end.cause, !end.isUnsent);
            return;
        }
        this.giveUp(end.cause);
    }

    /** Takes back the run of an attempt that surely was not run. */
    private removeRun(attempt: StreamAttempt): void {
        this.attemptLimit.noteNotRun();
        this.runs.remove(attempt.run);
        attempt.reservation.links.refund();
    }

    /** Removes an attempt that ends and releases its resources. */
    private releaseAttempt(attempt: StreamAttempt): void {
        this.attempts.remove(attempt);
        const heldMilliseconds = attempt.firstEventAt !== undefined ? this.getTime() - attempt.sentAt : undefined;
        this.environment.queue.noteEnd(this.chains.getTokens(), heldMilliseconds);
        this.firstSentAt ??= attempt.exchange?.getSentTime();
        attempt.reservation.release();
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
        this.finish(this.answer.giveUp(cause, notRun));
    }

    /** Ends the request after an unexpected error, which may have come before it was recorded that an endpoint runs the request. */
    private endOnError(cause: string): void {
        if (this.firstSentAt !== undefined || this.attempts.isAnySent()) {
            this.answer.noteRun();
        }
        this.giveUp(cause);
    }

    private handleTimeout(): void {
        this.finish(this.answer.timeOut(this.attempts.isAnySent()));
    }

    private finish({ outcome, cause }: AnswerEnd): void {
        if (this.isDone) {
            return;
        }
        this.isDone = true;
        this.timer?.cancel();
        this.resumeTimer?.cancel();
        if (this.queuedRelay !== undefined) {
            this.environment.queue.remove(this.queuedRelay);
        }
        const current = this.attempts.getCurrent();
        for (const attempt of this.attempts.list()) {
            attempt.exchange?.abort();
            this.releaseAttempt(attempt);
        }
        const { firstSentAt } = this;
        this.logger.writeEnd({
            outcome,
            cause,
            attempts: this.attemptLimit,
            attempt: current,
            firstSentAt,
        });
        this.onDone();
    }

    private getTime(): number {
        return this.environment.clock.getMonotonicTime();
    }
}
