import type { IncomingHttpHeaders } from "node:http";
import type { BodyBounds } from "../../../connection/upstream/bodyBounds.ts";
import { bodyBoundsOfUse } from "../../../connection/upstream/bodyBoundsOfUse.ts";
import { PathState } from "../../../connection/upstream/path/pathState.ts";
import type { UpstreamFailure } from "../../../connection/upstream/upstreamFailure.ts";
import { UpstreamFailureKind } from "../../../connection/upstream/upstreamFailureKind.ts";
import type { TimerHandle } from "../../../process/clock.ts";
import { events } from "../../../process/logging/events.ts";
import { ProcessorAccount } from "../../../process/loop/processorAccount.ts";
import { ProcessorCause } from "../../../process/loop/processorCause.ts";
import { RequestKind } from "../../../version/routing/requestKind.ts";
import { RetryWait } from "../../retryWait.ts";
import type { CompleteAnswer } from "../answers/completeAnswer.ts";
import { createRefusal } from "../answers/createRefusal.ts";
import type { RelayRefusal } from "../answers/relayRefusal.ts";
import { sendCompleteAnswer } from "../answers/sendCompleteAnswer.ts";
import { createEndFields } from "../createEndFields.ts";
import { guardListener } from "../guardListener.ts";
import { PossibleRuns } from "../possibleRuns.ts";
import { TaskQuarantine } from "../quarantine/taskQuarantine.ts";
import type { RelayEnvironment } from "../relayEnvironment.ts";
import type { RelayTask } from "../relayTask.ts";
import { RequestGuard } from "../requestGuard.ts";
import { createStopCause } from "../stop/createStopCause.ts";
import { estimateAnswerDuration } from "../stop/estimateAnswerDuration.ts";
import { getAnswerSize } from "../stop/getAnswerSize.ts";
import type { OpenRequest } from "../stop/openRequest.ts";
import { OpenRequestState } from "../stop/openRequestState.ts";
import type { DocumentAttempt } from "./documentAttempt.ts";
import type { DocumentAttemptEnd } from "./documentAttemptEnd.ts";
import { DocumentAttempts } from "./documentAttempts.ts";
import { DocumentEndpoints } from "./documentEndpoints.ts";

const account = ProcessorAccount.ofProcess;
/**
 * Fraction of the latency objective after which an unanswered idempotent request is hedged: it is also sent to a second
 * endpoint, and the first answer is used. Nearly all requests are answered before.
 */
const hedgeFraction = 0.6;
/** Non-idempotent requests don't use connections that were idle for longer, since these may be dead without notice. */
const maximumIdleMilliseconds = 3_000;
const serverErrorStatus = 500;

/** Forwards a request to a document service and answers its caller exactly once. */
export class DocumentRelay implements OpenRequest {
    private readonly environment: RelayEnvironment;
    private readonly task: RelayTask;
    private readonly endpoints: DocumentEndpoints;
    private readonly runs: PossibleRuns;
    private readonly attempts: DocumentAttempts;
    private readonly wait = RetryWait.create();
    private readonly timers: TimerHandle[] = [];
    private readonly onDone: () => void;
    private readonly quarantine: TaskQuarantine;
    private readonly guard: RequestGuard;
    private isWaiting = false;
    private isDone = false;

    private constructor(environment: RelayEnvironment, task: RelayTask, onDone: () => void) {
        this.environment = environment;
        this.task = task;
        this.onDone = onDone;
        this.runs = PossibleRuns.create(environment.ends, task.route.maximumAttempts);
        this.attempts = DocumentAttempts.create(this.runs, task.route.maximumAttempts);
        this.endpoints = DocumentEndpoints.create(environment, task);
        this.quarantine = TaskQuarantine.create(environment, task);
        const { log } = environment;
        this.guard = RequestGuard.create({ log, requestId: task.request.id, end: cause => this.endOnError(cause) });
    }

    /**
     * Creates the relay of a request; nothing is sent before {@link start}.
     * @param environment - Shared services of relayed requests.
     * @param task - The request.
     * @param onDone - Called once, when the caller was answered or has disconnected.
     */
    static create(environment: RelayEnvironment, task: RelayTask, onDone: () => void): DocumentRelay {
        return new DocumentRelay(environment, task, onDone);
    }

    /** Creates the relay of a request and starts forwarding it; see {@link create}. */
    static start(environment: RelayEnvironment, task: RelayTask, onDone: () => void): void {
        DocumentRelay.create(environment, task, onDone).start();
    }

    /** Gets what happens to the request. */
    getState(): OpenRequestState {
        return this.attempts.areRunning() ? OpenRequestState.Running : OpenRequestState.Waiting;
    }

    /** Gets the time that the request needs for its answer, in milliseconds. */
    getNeededTime(): number {
        return estimateAnswerDuration(this.environment, this.task);
    }

    /** Ends the request because this node ends. */
    endAtStop(): void {
        const cause = createStopCause(this.getState());
        this.guard.run(() => this.endWithout(cause, createRefusal.stopping(cause)));
    }

    /** Starts forwarding the request. */
    start(): void {
        const { environment, task } = this;
        task.sink.onClosed(() => this.finish("callerGone"));
        this.setTimer(task.dueAt - environment.clock.getMonotonicTime(), () => this.expire());
        this.setTimer(task.route.targetLatencyMilliseconds * hedgeFraction, () => this.handleLateAnswer());
        this.guard.run(() => this.startAttempt("no endpoint of the service is ready."));
    }

    private isIdempotent(): boolean {
        return this.task.route.kind === RequestKind.Idempotent;
    }

    private startAttempt(cause: string, isRetry = false): void {
        if (this.refuseIfQuarantined(cause)) {
            return;
        }
        const { environment } = this;
        const endpoint = this.endpoints.acquire(this.attempts.getOnlyAllowedIds());
        if (endpoint === undefined) {
            if (this.waitForEndpoint(cause)) {
                return;
            }
            const exhausted = this.endpoints.explainExhaustion(cause);
            this.giveUp(exhausted.cause, exhausted.refusal);
            return;
        }
        if (isRetry && !this.takeRetryFromBudget()) {
            environment.limits.refund(endpoint.id);
            this.waitOrGiveUp(cause);
            return;
        }
        const now = environment.clock.getMonotonicTime();
        const reservation = environment.loads.reserveEndpoint(endpoint.id, now);
        const attempt: DocumentAttempt = {
            endpoint,
            run: { endpoint, isBroken: false, getSentTime: () => attempt.exchange?.getSentTime() },
            sentAt: now,
            reservation,
            exchange: undefined,
            head: undefined,
            chunks: [],
        };
        this.attempts.add(attempt);
        this.send(attempt);
    }

    /**
     * Waits until the endpoints, or the retry budget, may accept an idempotent request that may have run: its outcome would be unknown
     * otherwise. It asks one endpoint at a time. One that surely has not run is refused instead, so that its caller can send it to
     * another node.
     * @returns Whether the request waits.
     */
    private waitForEndpoint(cause: string): boolean {
        if (!this.isIdempotent() || !this.attempts.isAnotherRunAllowed()) {
            return false;
        }
        const delayMilliseconds = this.wait.takeDelay(this.getTime(), this.task.dueAt);
        if (delayMilliseconds === undefined) {
            return false;
        }
        this.isWaiting = true;
        this.setTimer(delayMilliseconds, () => {
            this.isWaiting = false;
            this.endpoints.allowAllAgainIfNoneLeft();
            this.attempts.resetRefusals();
            this.startAttempt(cause, true);
        });
        return true;
    }

    private waitOrGiveUp(cause: string): void {
        if (!this.waitForEndpoint(cause)) {
            this.giveUp(cause);
        }
    }

    /** Checks if the request is quarantined. If so, refuses it unless an endpoint still runs it. */
    private refuseIfQuarantined(cause: string): boolean {
        const hold = this.quarantine.getHold();
        if (hold !== undefined) {
            this.giveUp(cause, createRefusal.heldBack(hold));
        }
        return hold !== undefined;
    }

    private send(attempt: DocumentAttempt): void {
        const { protocol, pools } = this.environment;
        const { request, customer, dueAt } = this.task;
        const { endpoint } = attempt;
        const createRequest = () => {
            const remainingMilliseconds = dueAt - this.getTime();
            return protocol.createRequest(request, { endpoint, customer, remainingMilliseconds, lastEventId: 0 });
        };
        const idleLimit = this.isIdempotent() ? Infinity : maximumIdleMilliseconds;
        const listener = guardListener(this.guard, {
            onHead: (status, headers) =>
                account.runPart(ProcessorCause.Document, () => this.handleHead(attempt, status, headers)),
            getBodyBounds: () => getBodyBounds(attempt),
            onData: chunk => {
                attempt.chunks.push(chunk);
                this.task.sink.noteKept?.(chunk.length);
            },
            onEnd: () => account.runPart(ProcessorCause.Document, () => this.handleAnswer(attempt)),
            onFailure: failure => account.runPart(ProcessorCause.Document, () => this.handleFailure(attempt, failure)),
            maySend: () => this.environment.instructions.maySend(endpoint.id),
        });
        attempt.exchange = pools.getPool(endpoint.address).sendForCaller(createRequest, listener, idleLimit);
    }

    private handleHead(attempt: DocumentAttempt, status: number, headers: IncomingHttpHeaders): void {
        attempt.head = this.environment.protocol.readHead(status, headers, this.task.request.id);
        if (!attempt.head.isForRequest) {
            attempt.exchange?.abort();
            this.environment.health.addFailure(attempt.endpoint.id, this.getTime());
            this.endAttempt(attempt, { isNotRun: false, cause: "the endpoint's answer belongs to another request." });
            return;
        }
        const { limits, instructions } = this.environment;
        const { endpoint, head } = attempt;
        limits.noteAnswer(endpoint.id, head.requestsPerSecond, this.getTime());
        instructions.noteAnswer({
            endpointId: endpoint.id,
            instructions: head.instructions,
            answerTo: this.task.request.id,
        });
    }

    private handleAnswer(attempt: DocumentAttempt): void {
        const { head } = attempt;
        if (head === undefined) {
            this.endAttempt(attempt, { isNotRun: false, cause: "the endpoint's answer has no status and headers." });
            return;
        }
        const now = this.getTime();
        const { health } = this.environment;
        health.markAlive(attempt.endpoint.id, now);
        if (head.isNotRun) {
            this.attempts.noteRefusal();
            // A pause already says for how long the endpoint gets no requests. If the refusals of the requests that it had in progress
            // counted as failures too, it would get none for seconds after that, as long as others have free slots.
            if (head.instructions.pauseMilliseconds === undefined) {
                health.addFailure(attempt.endpoint.id, now);
            }
            this.endAttempt(attempt, { isNotRun: true, cause: "the endpoints refused it." });
            return;
        }
        this.quarantine.markSafe(attempt.sentAt);
        const answer = { head, body: Buffer.concat(attempt.chunks) };
        if (head.status >= serverErrorStatus) {
            health.addFailure(attempt.endpoint.id, now);
            this.endAttempt(attempt, { isNotRun: false, cause: `the endpoint answered ${head.status}.`, answer });
            return;
        }
        if (!head.isSigned) {
            health.addFailure(attempt.endpoint.id, now);
            this.endAttempt(attempt, { isNotRun: false, cause: "the endpoint's answer is not signed." });
            return;
        }
        health.addSuccess(attempt.endpoint.id, now);
        this.deliver(answer, attempt);
    }

    private handleFailure(attempt: DocumentAttempt, failure: UpstreamFailure): void {
        const { health, limits } = this.environment;
        const cause = `the exchange with the endpoint failed (${failure.message}).`;
        if (failure.kind === UpstreamFailureKind.Invalid) {
            this.handleInvalidAnswer(attempt, cause);
            return;
        }
        if (failure.kind === UpstreamFailureKind.Broken) {
            const brokenAt = this.getTime();
            attempt.run.isBroken = true;
            attempt.exchange?.testPath(state =>
                this.guard.run(() => this.handleBreak(attempt, state, brokenAt, cause))
            );
            return;
        }
        if (failure.kind === UpstreamFailureKind.Withheld) {
            limits.refund(attempt.endpoint.id);
        }
        else {
            health.markUnavailable(attempt.endpoint.id, this.getTime());
        }
        this.endAttempt(attempt, { isNotRun: true, isUnsent: true, cause });
    }

    /** Handles an answer that exceeds its bounds. What follows the head of a refusal doesn't matter. */
    private handleInvalidAnswer(attempt: DocumentAttempt, cause: string): void {
        this.environment.health.addFailure(attempt.endpoint.id, this.getTime());
        const isNotRun = attempt.head?.isNotRun === true;
        if (isNotRun) {
            this.attempts.noteRefusal();
        }
        this.endAttempt(attempt, { isNotRun, cause });
    }

    private handleBreak(attempt: DocumentAttempt, state: PathState, brokenAt: number, cause: string): void {
        const isPathLost = state === PathState.Lost;
        if (state === PathState.Down) {
            this.environment.health.markUnreachable(attempt.endpoint.id);
        }
        if (!isPathLost) {
            this.environment.health.addFailure(attempt.endpoint.id, this.getTime());
        }
        const sentAt = attempt.exchange?.getSentTime() ?? attempt.sentAt;
        const isDown = state === PathState.Down;
        this.quarantine.noteBreak(attempt.endpoint.id, sentAt, brokenAt, { isDown });
        this.endAttempt(attempt, { isNotRun: false, isPathLost, cause });
    }

    private endAttempt(attempt: DocumentAttempt, end: DocumentAttemptEnd): void {
        if (this.isDone || !this.attempts.isRunning(attempt)) {
            return;
        }
        this.attempts.end(attempt, end);
        if (end.isPathLost === true) {
            this.endpoints.allowAgain(attempt.endpoint.id);
        }
        this.environment.log.write(events.relayAttemptFailed, {
            request: this.task.request.id,
            endpoint: attempt.endpoint.id,
            peer: attempt.exchange?.getPeer() ?? "",
            attempt: this.attempts.getCount(),
            ...this.runs.describe(),
            isNotRun: end.isNotRun,
            cause: end.cause,
            fingerprint: this.task.fingerprint,
            parts: this.task.partKeys.join(","),
            milliseconds: Math.round(this.getTime() - attempt.sentAt),
        });
        if (this.attempts.areRunning()) {
            return;
        }
        if (this.wait.hasBegun() && end.isNotRun) {
            this.waitOrGiveUp(end.cause);
            return;
        }
        if (end.isNotRun && !this.attempts.mayHaveRun() || this.isIdempotent()) {
            this.startAttempt(end.cause, !end.isUnsent);
            return;
        }
        this.giveUp(end.cause);
    }

    /**
     * Handles a late answer. An idempotent request is hedged with a second endpoint. Any other request is moved to another
     * endpoint if the first one has no connection yet, so that it can't have run: connections open within milliseconds, and
     * waiting for an unresponsive endpoint would use up the caller's time.
     */
    private handleLateAnswer(): void {
        this.testSilentPaths();
        if (this.isIdempotent()) {
            this.hedge();
            return;
        }
        for (const attempt of [...this.attempts.getRunning()]) {
            if (attempt.exchange?.getSentTime() === undefined) {
                attempt.exchange?.abort();
                this.environment.health.markUnavailable(attempt.endpoint.id, this.getTime());
                this.endAttempt(attempt, {
                    isNotRun: true,
                    isUnsent: true,
                    cause: "the endpoint did not accept a connection in time.",
                });
            }
        }
    }

    /** Tests the paths of attempts whose endpoints have sent nothing since. If one is lost, an idempotent request is also sent over another. */
    private testSilentPaths(): void {
        for (const attempt of this.attempts.getRunning()) {
            const { exchange, endpoint, sentAt } = attempt;
            const isSent = exchange?.getSentTime() !== undefined;
            if (!isSent || this.environment.pools.getPool(endpoint.address).hasBytesSince(sentAt)) {
                continue;
            }
            exchange.testPath(state => {
                if (state === PathState.Lost && this.isIdempotent() && this.attempts.isRunning(attempt)) {
                    this.guard.run(() => this.sendOverOtherPath(attempt));
                }
            });
        }
    }

    /** The attempt in progress goes on, since its endpoint may only be silent and there may be no other attempt. */
    private sendOverOtherPath(attempt: DocumentAttempt): void {
        this.endpoints.allowAgain(attempt.endpoint.id);
        this.startAttempt("the path to the endpoint is lost.", true);
    }

    private hedge(): void {
        if (
            this.isDone || this.isWaiting || this.quarantine.isCanary() || !this.attempts.isHedgeAllowed()
            || !this.endpoints.hasUntried()
        ) {
            return;
        }
        for (const attempt of this.attempts.getRunning()) {
            this.environment.health.addFailure(attempt.endpoint.id, this.getTime());
        }
        this.startAttempt("the endpoint has not answered in time.", true);
    }

    private takeRetryFromBudget(): boolean {
        const { streamRetries } = this.environment;
        if (this.attempts.mayHaveRun() && !this.attempts.areRunning()) {
            streamRetries.noteBegun(this.task);
        }
        return streamRetries.take(this.task, this.getTime());
    }

    private deliver(answer: CompleteAnswer, attempt: DocumentAttempt): void {
        sendCompleteAnswer(this.task.sink, answer);
        const milliseconds = this.getTime() - this.task.request.arrivedAt;
        this.environment.answerTimes.record(this.task.route.name, milliseconds, getAnswerSize(this.task));
        this.finish("answered", attempt, answer.head.status);
    }

    /**
     * Ends the request without success, unless an endpoint still runs it.
     * @param cause - Why it ends.
     * @param notRun - Refusal for the caller if no endpoint has run the request.
     */
    private giveUp(cause: string, notRun: RelayRefusal = createRefusal.notRun(cause)): void {
        if (!this.attempts.areRunning()) {
            this.endWithout(cause, notRun);
        }
    }

    /** Ends the request without success, also while an endpoint runs it. See {@link giveUp}. */
    private endWithout(cause: string, notRun: RelayRefusal): void {
        const failureAnswer = this.attempts.getFailureAnswer();
        if (failureAnswer !== undefined) {
            sendCompleteAnswer(this.task.sink, failureAnswer);
            this.finish("endpointFailed", undefined, failureAnswer.head.status);
            return;
        }
        this.refuse(this.mayHaveRun() ? createRefusal.outcomeUnknown(cause) : notRun);
    }

    private expire(): void {
        this.refuse(
            this.mayHaveRun() ? createRefusal.timedOut() : createRefusal.notRun("no endpoint accepted it in time."),
        );
    }

    private endOnError(cause: string): void {
        this.refuse(this.mayHaveRun() ? createRefusal.outcomeUnknown(cause) : createRefusal.notRun(cause));
    }

    /** Checks if an endpoint may have run the request or may run it now. */
    private mayHaveRun(): boolean {
        const isRunning = [...this.attempts.getRunning()].some(({ exchange }) => exchange?.getSentTime() !== undefined);
        return isRunning || this.attempts.mayHaveRun();
    }

    private refuse(refusal: RelayRefusal): void {
        if (!this.isDone) {
            this.task.sink.refuse(refusal);
            this.finish(refusal.reason, undefined, 0, refusal.message);
        }
    }

    private finish(outcome: string, answered?: DocumentAttempt, status = 0, cause = ""): void {
        if (this.isDone) {
            return;
        }
        this.isDone = true;
        for (const timer of this.timers) {
            timer.cancel();
        }
        this.attempts.abortAll();
        const { environment, task, attempts } = this;
        environment.streamRetries.noteEnd(task);
        const dataCentre = (answered?.endpoint ?? attempts.getLastEndpoint())?.dataCentre;
        environment.log.write(events.relayEnded, {
            ...createEndFields(environment, task, {
                outcome,
                cause,
                attemptCount: attempts.getCount(),
                firstSentAt: attempts.getFirstSentTime(),
                peer: answered?.exchange?.getPeer(),
                dataCentres: dataCentre === undefined ? [] : [dataCentre],
            }),
            status,
            endpoint: answered?.endpoint.id ?? "",
        });
        this.onDone();
    }

    private setTimer(delay: number, callback: () => void): void {
        const guarded = () => this.guard.run(callback);
        this.timers.push(this.environment.clock.setTimer(Math.max(0, delay), guarded));
    }

    private getTime(): number {
        return this.environment.clock.getMonotonicTime();
    }
}

function getBodyBounds({ head }: DocumentAttempt): BodyBounds {
    const isPassedOn = head !== undefined && head.isSigned && !head.isNotRun && head.status < serverErrorStatus;
    return isPassedOn ? bodyBoundsOfUse.kept : bodyBoundsOfUse.failure;
}
