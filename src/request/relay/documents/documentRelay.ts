import type { IncomingHttpHeaders } from "node:http";
import { PathState } from "../../../connection/upstream/path/pathState.ts";
import type { UpstreamExchange } from "../../../connection/upstream/upstreamExchange.ts";
import type { UpstreamFailure } from "../../../connection/upstream/upstreamFailure.ts";
import { UpstreamFailureKind } from "../../../connection/upstream/upstreamFailureKind.ts";
import type { TimerHandle } from "../../../process/clock.ts";
import { events } from "../../../process/logging/events.ts";
import { ProcessorAccount } from "../../../process/loop/processorAccount.ts";
import { ProcessorCause } from "../../../process/loop/processorCause.ts";
import { RequestKind } from "../../../version/routing/requestKind.ts";
import type { AnswerHead } from "../answers/answerHead.ts";
import type { CompleteAnswer } from "../answers/completeAnswer.ts";
import { createRefusal } from "../answers/createRefusal.ts";
import { maximumRefusals } from "../answers/maximumRefusals.ts";
import type { RelayRefusal } from "../answers/relayRefusal.ts";
import { sendCompleteAnswer } from "../answers/sendCompleteAnswer.ts";
import { createEndFields } from "../createEndFields.ts";
import type { LoadReservation } from "../endpoints/loadReservation.ts";
import type { RegisteredEndpoint } from "../endpoints/registeredEndpoint.ts";
import { TaskQuarantine } from "../quarantine/taskQuarantine.ts";
import type { RelayEnvironment } from "../relayEnvironment.ts";
import type { RelayTask } from "../relayTask.ts";
import { DocumentEndpoints } from "./documentEndpoints.ts";

/** An attempt to run the request at an endpoint. */
interface Attempt {
    endpoint: RegisteredEndpoint;
    sentAt: number;
    reservation: LoadReservation;
    exchange: UpstreamExchange | undefined;
    head: AnswerHead | undefined;
    chunks: Buffer[];
}

/** Why an attempt ended without an answer that can be forwarded. */
interface AttemptEnd {
    /** Whether it is certain that the endpoint has not run the request. */
    isNotRun: boolean;
    /** Whether no byte of the request was sent. */
    isUnsent?: boolean;
    /** Whether only the path to the endpoint is lost, while the endpoint itself is alive. */
    isPathLost?: boolean;
    cause: string;
    /** The endpoint's error response, which is forwarded if no other attempt succeeds. */
    answer?: CompleteAnswer;
}

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
export class DocumentRelay {
    private readonly environment: RelayEnvironment;
    private readonly task: RelayTask;
    private readonly endpoints: DocumentEndpoints;
    private readonly runningAttempts = new Set<Attempt>();
    private readonly timers: TimerHandle[] = [];
    private readonly onDone: () => void;
    private readonly quarantine: TaskQuarantine;
    private attempts = 0;
    private refusals = 0;
    /** Number of attempts that ended before a byte was sent, or whose path was lost. */
    private uncountedAttempts = 0;
    /** Monotonic time in milliseconds at which the first byte was sent to an endpoint. */
    private firstSentAt: number | undefined;
    /** Endpoint of the last attempt. */
    private lastEndpoint: RegisteredEndpoint | undefined;
    private mayHaveRun = false;
    private failureAnswer: CompleteAnswer | undefined;
    private isDone = false;

    private constructor(environment: RelayEnvironment, task: RelayTask, onDone: () => void) {
        this.environment = environment;
        this.task = task;
        this.onDone = onDone;
        this.endpoints = DocumentEndpoints.create(environment, task);
        this.quarantine = TaskQuarantine.create(environment, task);
    }

    /**
     * Starts forwarding a request.
     * @param environment - Shared services of relayed requests.
     * @param task - The request.
     * @param onDone - Called once, when the caller was answered or has disconnected.
     */
    static start(environment: RelayEnvironment, task: RelayTask, onDone: () => void): void {
        new DocumentRelay(environment, task, onDone).run();
    }

    private run(): void {
        const { environment, task } = this;
        task.sink.onClosed(() => this.finish("callerGone"));
        this.setTimer(task.dueAt - environment.clock.getMonotonicTime(), () => this.expire());
        this.setTimer(task.route.targetLatencyMilliseconds * hedgeFraction, () => this.handleLateAnswer());
        this.startAttempt("no endpoint of the service is ready.");
    }

    private isIdempotent(): boolean {
        return this.task.route.kind === RequestKind.Idempotent;
    }

    private startAttempt(cause: string, isRetry = false): void {
        if (this.refuseIfQuarantined(cause)) {
            return;
        }
        const { environment, task } = this;
        const isAllowed = this.attempts - this.uncountedAttempts < task.route.maximumAttempts
            || !this.mayHaveRun && this.runningAttempts.size === 0 && this.refusals <= maximumRefusals;
        const endpoint = isAllowed ? this.endpoints.acquire() : undefined;
        if (endpoint === undefined) {
            const exhausted = this.endpoints.explainExhaustion(cause);
            this.giveUp(exhausted.cause, exhausted.refusal);
            return;
        }
        if (isRetry && !this.takeRetryFromBudget()) {
            environment.limits.refund(endpoint.id);
            this.giveUp(cause);
            return;
        }
        this.attempts += 1;
        const now = environment.clock.getMonotonicTime();
        const reservation = environment.loads.reserveEndpoint(endpoint.id, now);
        const attempt: Attempt = {
            endpoint,
            sentAt: now,
            reservation,
            exchange: undefined,
            head: undefined,
            chunks: [],
        };
        this.runningAttempts.add(attempt);
        this.lastEndpoint = endpoint;
        this.send(attempt);
    }

    /** Checks if the request is quarantined. If so, refuses it unless an endpoint still runs it. */
    private refuseIfQuarantined(cause: string): boolean {
        const hold = this.quarantine.getHold();
        if (hold !== undefined) {
            this.giveUp(cause, createRefusal.heldBack(hold));
        }
        return hold !== undefined;
    }

    private send(attempt: Attempt): void {
        const { protocol, pools } = this.environment;
        const { request, customer, dueAt } = this.task;
        const { endpoint } = attempt;
        const createRequest = () => {
            const remainingMilliseconds = dueAt - this.getTime();
            return protocol.createRequest(request, { endpoint, customer, remainingMilliseconds, lastEventId: 0 });
        };
        const idleLimit = this.isIdempotent() ? Infinity : maximumIdleMilliseconds;
        attempt.exchange = pools.getPool(endpoint.address).sendForCaller(createRequest, {
            onHead: (status, headers) =>
                account.runPart(ProcessorCause.Document, () => this.handleHead(attempt, status, headers)),
            onData: chunk => attempt.chunks.push(chunk),
            onEnd: () => account.runPart(ProcessorCause.Document, () => this.handleAnswer(attempt)),
            onFailure: failure => account.runPart(ProcessorCause.Document, () => this.handleFailure(attempt, failure)),
            maySend: () => this.environment.instructions.maySend(endpoint.id),
        }, idleLimit);
    }

    private handleHead(attempt: Attempt, status: number, headers: IncomingHttpHeaders): void {
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

    private handleAnswer(attempt: Attempt): void {
        const { head } = attempt;
        if (head === undefined) {
            this.endAttempt(attempt, { isNotRun: false, cause: "the endpoint's answer has no status and headers." });
            return;
        }
        const now = this.getTime();
        const { health } = this.environment;
        health.markAlive(attempt.endpoint.id, now);
        if (head.isNotRun) {
            this.refusals += 1;
            health.addFailure(attempt.endpoint.id, now);
            this.endAttempt(attempt, { isNotRun: true, cause: "the endpoints refused it." });
            return;
        }
        this.quarantine.markSafe();
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

    private handleFailure(attempt: Attempt, failure: UpstreamFailure): void {
        const { health, limits } = this.environment;
        const cause = `the exchange with the endpoint failed (${failure.message}).`;
        if (failure.kind === UpstreamFailureKind.Broken) {
            const brokenAt = this.getTime();
            attempt.exchange?.testPath(state => {
                if (state === PathState.Down) {
                    health.markUnreachable(attempt.endpoint.id);
                }
                this.handleBreak(attempt, state === PathState.Lost, brokenAt, cause);
            });
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

    private handleBreak(attempt: Attempt, isPathLost: boolean, brokenAt: number, cause: string): void {
        if (!isPathLost) {
            this.environment.health.addFailure(attempt.endpoint.id, this.getTime());
            const sentAt = attempt.exchange?.getSentTime() ?? attempt.sentAt;
            this.quarantine.noteCrash(attempt.endpoint.id, sentAt, brokenAt);
        }
        this.endAttempt(attempt, { isNotRun: false, isPathLost, cause });
    }

    private endAttempt(attempt: Attempt, end: AttemptEnd): void {
        if (this.isDone || !this.runningAttempts.has(attempt)) {
            return;
        }
        this.releaseAttempt(attempt);
        this.mayHaveRun ||= !end.isNotRun;
        this.uncountedAttempts += end.isUnsent === true || end.isPathLost === true ? 1 : 0;
        if (end.isPathLost === true) {
            this.endpoints.allowAgain(attempt.endpoint.id);
        }
        this.failureAnswer = end.answer ?? this.failureAnswer;
        this.environment.log.write(events.relayAttemptFailed, {
            request: this.task.request.id,
            endpoint: attempt.endpoint.id,
            peer: attempt.exchange?.getPeer() ?? "",
            attempt: this.attempts,
            isNotRun: end.isNotRun,
            cause: end.cause,
            fingerprint: this.task.fingerprint,
            milliseconds: Math.round(this.getTime() - attempt.sentAt),
        });
        if (this.runningAttempts.size > 0) {
            return;
        }
        if (end.isNotRun && !this.mayHaveRun || this.isIdempotent()) {
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
        for (const attempt of [...this.runningAttempts]) {
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

    /** Tests the paths of attempts whose endpoints have sent nothing since. If one is lost, an idempotent request takes another. */
    private testSilentPaths(): void {
        for (const attempt of this.runningAttempts) {
            const { exchange, endpoint, sentAt } = attempt;
            const isSent = exchange?.getSentTime() !== undefined;
            if (!isSent || this.environment.pools.getPool(endpoint.address).hasBytesSince(sentAt)) {
                continue;
            }
            exchange.testPath(state => {
                if (state === PathState.Lost && this.isIdempotent() && this.runningAttempts.has(attempt)) {
                    exchange.abort();
                    this.endAttempt(attempt, {
                        isNotRun: false,
                        isPathLost: true,
                        cause: "the path to the endpoint is lost.",
                    });
                }
            });
        }
    }

    private hedge(): void {
        const { route } = this.task;
        const isAllowed = this.attempts > 0 && this.attempts < route.maximumAttempts;
        if (this.isDone || !isAllowed || !this.endpoints.hasUntried()) {
            return;
        }
        for (const attempt of this.runningAttempts) {
            this.environment.health.addFailure(attempt.endpoint.id, this.getTime());
        }
        this.startAttempt("the endpoint has not answered in time.", true);
    }

    private takeRetryFromBudget(): boolean {
        return this.environment.retryBudget.takeRetry(this.getTime());
    }

    private deliver(answer: CompleteAnswer, attempt: Attempt): void {
        sendCompleteAnswer(this.task.sink, answer);
        this.finish("answered", attempt, answer.head.status);
    }

    /**
     * Ends the request without success, unless an endpoint still runs it.
     * @param cause - Why it ends.
     * @param notRun - Refusal for the caller if no endpoint has run the request.
     */
    private giveUp(cause: string, notRun: RelayRefusal = createRefusal.notRun(cause)): void {
        if (this.runningAttempts.size > 0) {
            return;
        }
        if (this.failureAnswer !== undefined) {
            const { failureAnswer } = this;
            sendCompleteAnswer(this.task.sink, failureAnswer);
            this.finish("endpointFailed", undefined, failureAnswer.head.status);
            return;
        }
        this.refuse(this.mayHaveRun ? createRefusal.outcomeUnknown(cause) : notRun);
    }

    private expire(): void {
        const isRunning = [...this.runningAttempts].some(({ exchange }) => exchange?.getSentTime() !== undefined);
        const mayHaveRun = this.mayHaveRun || isRunning;
        this.refuse(mayHaveRun ? createRefusal.timedOut() : createRefusal.notRun("no endpoint accepted it in time."));
    }

    private refuse(refusal: RelayRefusal): void {
        if (!this.isDone) {
            this.task.sink.refuse(refusal);
            this.finish(refusal.reason, undefined, 0, refusal.message);
        }
    }

    private finish(outcome: string, answered?: Attempt, status = 0, cause = ""): void {
        if (this.isDone) {
            return;
        }
        this.isDone = true;
        for (const timer of this.timers) {
            timer.cancel();
        }
        for (const attempt of [...this.runningAttempts]) {
            attempt.exchange?.abort();
            this.releaseAttempt(attempt);
        }
        const { environment, task } = this;
        const dataCentre = (answered?.endpoint ?? this.lastEndpoint)?.dataCentre;
        environment.log.write(events.relayEnded, {
            ...createEndFields(environment, task, {
                outcome,
                cause,
                attemptCount: this.attempts,
                firstSentAt: this.firstSentAt,
                peer: answered?.exchange?.getPeer(),
                dataCentres: dataCentre === undefined ? [] : [dataCentre],
            }),
            status,
            endpoint: answered?.endpoint.id ?? "",
        });
        this.onDone();
    }

    private releaseAttempt(attempt: Attempt): void {
        this.firstSentAt ??= attempt.exchange?.getSentTime();
        attempt.reservation.release();
        this.runningAttempts.delete(attempt);
    }

    private setTimer(delay: number, callback: () => void): void {
        this.timers.push(this.environment.clock.setTimer(Math.max(0, delay), callback));
    }

    private getTime(): number {
        return this.environment.clock.getMonotonicTime();
    }
}
