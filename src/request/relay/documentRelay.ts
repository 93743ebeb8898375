import type { IncomingHttpHeaders } from "node:http";
import type { UpstreamExchange } from "../../connection/upstream/upstreamExchange.ts";
import type { UpstreamFailure } from "../../connection/upstream/upstreamFailure.ts";
import { UpstreamFailureKind } from "../../connection/upstream/upstreamFailureKind.ts";
import type { TimerHandle } from "../../process/clock.ts";
import { events } from "../../process/logging/events.ts";
import { RequestKind } from "../../version/routing/requestKind.ts";
import type { AnswerHead } from "./answerHead.ts";
import { chooseEndpoint } from "./chooseEndpoint.ts";
import { createRefusal } from "./createRefusal.ts";
import { getSentMilliseconds } from "./getSentMilliseconds.ts";
import type { LoadReservation } from "./loadReservation.ts";
import { mostRefusals } from "./mostRefusals.ts";
import { TaskQuarantine } from "./quarantine/taskQuarantine.ts";
import type { RegisteredEndpoint } from "./registeredEndpoint.ts";
import type { RelayEnvironment } from "./relayEnvironment.ts";
import type { RelayRefusal } from "./relayRefusal.ts";
import type { RelayTask } from "./relayTask.ts";
import { sendWholeAnswer } from "./sendWholeAnswer.ts";
import type { WholeAnswer } from "./wholeAnswer.ts";

/** One sending of the request to one endpoint. */
interface Attempt {
    endpoint: RegisteredEndpoint;
    sentAt: number;
    reservation: LoadReservation;
    exchange: UpstreamExchange | undefined;
    head: AnswerHead | undefined;
    chunks: Buffer[];
}

/** Why an attempt brought no answer that can be passed on. */
interface AttemptEnd {
    /** Whether the endpoint has surely not run the request. */
    isNotRun: boolean;
    /** Whether no byte of it was sent. */
    isUnsent?: boolean;
    cause: string;
    /** A failure of the endpoint itself, which is passed on where nothing better comes. */
    answer?: WholeAnswer;
}

/**
 * A request that may be repeated is sent to a second endpoint when this part of its objective is over without an answer;
 * the first answer counts. Nearly all are answered before.
 */
const hedgePart = 0.6;
/** Connections that were idle for longer may have gone silent; a request that can't be repeated doesn't use them. */
const freshIdleMilliseconds = 3_000;
const serverErrorStatus = 500;

/** Forwards one request to a document service and answers its caller once. */
export class DocumentRelay {
    private readonly environment: RelayEnvironment;
    private readonly task: RelayTask;
    private readonly tried = new Set<string>();
    private readonly running = new Set<Attempt>();
    private readonly timers: TimerHandle[] = [];
    private readonly onDone: () => void;
    private readonly quarantine: TaskQuarantine;
    private attempts = 0;
    private refusals = 0;
    /** Attempts of which no byte was sent. */
    private unsent = 0;
    /** Monotonic time in milliseconds at which the first byte left for an endpoint. */
    private firstSentAt: number | undefined;
    private mayHaveRun = false;
    private failure: WholeAnswer | undefined;
    private isDone = false;

    private constructor(environment: RelayEnvironment, task: RelayTask, onDone: () => void) {
        this.environment = environment;
        this.task = task;
        this.onDone = onDone;
        this.quarantine = TaskQuarantine.create(environment, task);
    }

    /**
     * Starts to forward a request.
     * @param environment - What relayed requests work with.
     * @param task - The request.
     * @param onDone - Called once when the caller has its answer or has gone.
     */
    static start(environment: RelayEnvironment, task: RelayTask, onDone: () => void): void {
        new DocumentRelay(environment, task, onDone).run();
    }

    private run(): void {
        const { environment, task } = this;
        task.sink.onClosed(() => this.finish("callerGone"));
        this.setTimer(task.dueAt - environment.clock.getMonotonicTime(), () => this.expire());
        this.setTimer(task.route.objectiveMilliseconds * hedgePart, () => this.reviewLate());
        this.startAttempt("no endpoint of the service is ready.");
    }

    private isRepeatable(): boolean {
        return this.task.route.kind === RequestKind.Idempotent;
    }

    private startAttempt(cause: string, isRepeat = false): void {
        if (this.reviewHold(cause)) {
            return;
        }
        const { environment, task } = this;
        const isAllowed = this.attempts - this.unsent < task.route.maximumAttempts
            || !this.mayHaveRun && this.running.size === 0 && this.refusals <= mostRefusals;
        const closed = new Set<string>();
        const endpoint = isAllowed ? this.takeNext(closed) : undefined;
        if (endpoint === undefined) {
            this.giveUpForLimits(closed, cause);
            return;
        }
        if (isRepeat && !this.takeRepeat()) {
            environment.limits.giveBack(endpoint.id);
            this.giveUp(cause);
            return;
        }
        this.tried.add(endpoint.id);
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
        this.running.add(attempt);
        this.send(attempt);
    }

    /** Ends the request where it is held back, unless an endpoint still runs it. Returns whether it is. */
    private reviewHold(cause: string): boolean {
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
        const idleLimit = this.isRepeatable() ? Infinity : freshIdleMilliseconds;
        attempt.exchange = pools.getPool(endpoint.address).sendForCaller(createRequest, {
            onHead: (status, headers) => this.takeHead(attempt, status, headers),
            onData: chunk => attempt.chunks.push(chunk),
            onEnd: () => this.takeAnswer(attempt),
            onFailure: failure => this.takeFailure(attempt, failure),
        }, idleLimit);
    }

    private takeHead(attempt: Attempt, status: number, headers: IncomingHttpHeaders): void {
        attempt.head = this.environment.protocol.readHead(status, headers, this.task.request.id);
        if (!attempt.head.isForRequest) {
            attempt.exchange?.abort();
            this.environment.health.addFailure(attempt.endpoint.id, this.getTime());
            this.endAttempt(attempt, { isNotRun: false, cause: "the endpoint's answer belongs to another request." });
            return;
        }
        this.environment.limits.noteAnswer(attempt.endpoint.id, attempt.head.requestsPerSecond, this.getTime());
    }

    private takeAnswer(attempt: Attempt): void {
        const { head } = attempt;
        if (head === undefined) {
            this.endAttempt(attempt, { isNotRun: false, cause: "the endpoint's answer has no head." });
            return;
        }
        const now = this.getTime();
        const { health } = this.environment;
        health.noteAlive(attempt.endpoint.id, now);
        if (head.isNotRun) {
            this.refusals += 1;
            health.addFailure(attempt.endpoint.id, now);
            this.endAttempt(attempt, { isNotRun: true, cause: "the endpoints refused it." });
            return;
        }
        this.quarantine.noteOutlived();
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
        this.deliver(answer, attempt.endpoint);
    }

    private takeFailure(attempt: Attempt, failure: UpstreamFailure): void {
        const isNotRun = failure.kind === UpstreamFailureKind.NotSent;
        const { health } = this.environment;
        if (isNotRun) {
            health.addLoss(attempt.endpoint.id, this.getTime());
        }
        else {
            health.addFailure(attempt.endpoint.id, this.getTime());
            this.quarantine.noteEnded(attempt.endpoint.id, attempt.sentAt);
        }
        this.endAttempt(attempt, {
            isNotRun,
            isUnsent: isNotRun,
            cause: `the endpoint's answer is missing (${failure.message}).`,
        });
    }

    private endAttempt(attempt: Attempt, end: AttemptEnd): void {
        if (this.isDone) {
            return;
        }
        this.releaseAttempt(attempt);
        this.mayHaveRun ||= !end.isNotRun;
        this.unsent += end.isUnsent === true ? 1 : 0;
        this.failure = end.answer ?? this.failure;
        this.environment.log.write(events.relayAttemptFailed, {
            request: this.task.request.id,
            endpoint: attempt.endpoint.id,
            attempt: this.attempts,
            isNotRun: end.isNotRun,
            cause: end.cause,
            fingerprint: this.task.fingerprint,
            milliseconds: Math.round(this.getTime() - attempt.sentAt),
        });
        if (this.running.size > 0) {
            return;
        }
        if (end.isNotRun && !this.mayHaveRun || this.isRepeatable()) {
            this.startAttempt(end.cause, !end.isUnsent);
            return;
        }
        this.giveUp(end.cause);
    }

    /**
     * Looks at a request whose answer is late. One that may be repeated goes to a second endpoint beside the first. Any other
     * one goes there in place of the first where that has no connection yet, so that it surely hasn't run: connections open
     * within milliseconds, and one to an endpoint that fell silent would use up the caller's time.
     */
    private reviewLate(): void {
        if (this.isRepeatable()) {
            this.hedge();
            return;
        }
        for (const attempt of [...this.running]) {
            if (attempt.exchange?.getSentTime() === undefined) {
                attempt.exchange?.abort();
                this.environment.health.addLoss(attempt.endpoint.id, this.getTime());
                this.endAttempt(attempt, {
                    isNotRun: true,
                    isUnsent: true,
                    cause: "the endpoint takes no connection.",
                });
            }
        }
    }

    private hedge(): void {
        const { route } = this.task;
        const isAllowed = this.attempts > 0 && this.attempts < route.maximumAttempts;
        if (this.isDone || !isAllowed || this.listUntried().length === 0) {
            return;
        }
        for (const attempt of this.running) {
            this.environment.health.addFailure(attempt.endpoint.id, this.getTime());
        }
        this.startAttempt("the endpoint is late.", true);
    }

    private listUntried(): RegisteredEndpoint[] {
        return this.environment.directory.getEndpoints(this.task.service.name).filter(({ id }) => !this.tried.has(id));
    }

    /**
     * Chooses the endpoint to send to, whose limit leaves the request a place.
     * @param closed - Takes the ids of those whose limits don't.
     */
    private takeNext(closed: Set<string>): RegisteredEndpoint | undefined {
        const { environment, task } = this;
        const { limits } = environment;
        const now = this.getTime();
        limits.noteRequest(task.service.name, now);
        let untried = this.listUntried();
        for (let next = chooseEndpoint(environment, untried); next !== undefined;) {
            if (limits.take(next, now)) {
                return next;
            }
            closed.add(next.id);
            untried = untried.filter(({ id }) => !closed.has(id));
            next = chooseEndpoint(environment, untried);
        }
        return undefined;
    }

    /** Ends the request where no endpoint is left, or where the limits of those that are left leave it no place. */
    private giveUpForLimits(closed: ReadonlySet<string>, cause: string): void {
        if (closed.size === 0) {
            this.giveUp(cause);
            return;
        }
        const retryAfterMilliseconds = this.environment.limits.bookReturn(closed, this.getTime());
        const limited = `${cause} The endpoints limit what they take.`;
        this.giveUp(limited, createRefusal.notRun(limited, retryAfterMilliseconds));
    }

    private takeRepeat(): boolean {
        return this.environment.repeats.takeRetry(this.getTime());
    }

    private deliver(answer: WholeAnswer, endpoint: RegisteredEndpoint): void {
        sendWholeAnswer(this.task.sink, answer);
        this.finish("answered", endpoint.id, answer.head.status);
    }

    /**
     * Ends the request without an endpoint's success, unless an endpoint still runs it.
     * @param cause - Why.
     * @param notRun - What its caller is told where nothing of it has run.
     */
    private giveUp(cause: string, notRun: RelayRefusal = createRefusal.notRun(cause)): void {
        if (this.running.size > 0) {
            return;
        }
        if (this.failure !== undefined) {
            const { failure } = this;
            sendWholeAnswer(this.task.sink, failure);
            this.finish("endpointFailed", undefined, failure.head.status);
            return;
        }
        this.refuse(this.mayHaveRun ? createRefusal.outcomeUnknown(cause) : notRun);
    }

    private expire(): void {
        const isRunning = [...this.running].some(({ exchange }) => exchange?.getSentTime() !== undefined);
        const mayHaveRun = this.mayHaveRun || isRunning;
        this.refuse(mayHaveRun ? createRefusal.timedOut() : createRefusal.notRun("no endpoint took it in time."));
    }

    private refuse(refusal: RelayRefusal): void {
        if (!this.isDone) {
            this.task.sink.refuse(refusal);
            this.finish(refusal.reason, "", 0, refusal.message);
        }
    }

    private finish(outcome: string, endpointId = "", status = 0, cause = ""): void {
        if (this.isDone) {
            return;
        }
        this.isDone = true;
        for (const timer of this.timers) {
            timer.cancel();
        }
        for (const attempt of [...this.running]) {
            attempt.exchange?.abort();
            this.releaseAttempt(attempt);
        }
        const { request, route } = this.task;
        this.environment.log.write(events.relayEnded, {
            request: request.id,
            route: route.name,
            outcome,
            cause,
            status,
            endpoint: endpointId,
            fingerprint: this.task.fingerprint,
            attempts: this.attempts,
            takenUpLateMilliseconds: Math.round(this.task.takenUpLateMilliseconds),
            sentMilliseconds: getSentMilliseconds(this.firstSentAt, request.arrivedAt),
            milliseconds: Math.round(this.getTime() - request.arrivedAt),
        });
        this.onDone();
    }

    private releaseAttempt(attempt: Attempt): void {
        this.firstSentAt ??= attempt.exchange?.getSentTime();
        attempt.reservation.release();
        this.running.delete(attempt);
    }

    private setTimer(delay: number, callback: () => void): void {
        this.timers.push(this.environment.clock.setTimer(Math.max(0, delay), callback));
    }

    private getTime(): number {
        return this.environment.clock.getMonotonicTime();
    }
}
