import type { UpstreamFailure } from "../../connection/upstream/upstreamFailure.ts";
import { UpstreamFailureKind } from "../../connection/upstream/upstreamFailureKind.ts";
import type { TimerHandle } from "../../process/clock.ts";
import { events } from "../../process/logging/events.ts";
import type { EngineModel } from "../../version/routing/engineModel.ts";
import type { AnswerHead } from "./answerHead.ts";
import { createQueuedRelay } from "./createQueuedRelay.ts";
import { createRefusal } from "./createRefusal.ts";
import { EventVerdict } from "./eventVerdict.ts";
import { listDataCentres } from "./listDataCentres.ts";
import { noteRefusal } from "./noteRefusal.ts";
import { TaskQuarantine } from "./quarantine/taskQuarantine.ts";
import type { QueuedRelay } from "./queuedRelay.ts";
import type { RegisteredEndpoint } from "./registeredEndpoint.ts";
import { RelayChains } from "./relayChains.ts";
import type { RelayEnvironment } from "./relayEnvironment.ts";
import type { RelayPlace } from "./relayPlace.ts";
import type { RelayRefusal } from "./relayRefusal.ts";
import type { RelayStage } from "./relayStage.ts";
import type { RelayTask } from "./relayTask.ts";
import { RunAllowance } from "./runAllowance.ts";
import { sendWholeAnswer } from "./sendWholeAnswer.ts";
import type { StreamAnswerEnd } from "./streamAnswerEnd.ts";
import { StreamAnswerReader } from "./streamAnswerReader.ts";
import type { StreamAttempt } from "./streamAttempt.ts";
import type { StreamAttemptEnd } from "./streamAttemptEnd.ts";
import type { StreamEvent } from "./streamEvent.ts";
import { StreamProgress } from "./streamProgress.ts";
import { StreamStory } from "./streamStory.ts";
import type { WholeAnswer } from "./wholeAnswer.ts";

/** A request that ends the endpoint which runs it does so within a few steps. */
const outlivedMilliseconds = 250;

/**
 * Forwards one streamed request over a chain of endpoints and passes its events on as they come. Where the chain is
 * lost, the stream goes on from its last event over another one, in the same answer. Every event has a higher id than
 * the one before, whatever the runs bring.
 */
export class StreamRelay {
    readonly task: RelayTask;
    private readonly environment: RelayEnvironment;
    private readonly chains: RelayChains;
    private readonly allowance: RunAllowance;
    private readonly quarantine: TaskQuarantine;
    private readonly progress: StreamProgress;
    private readonly story: StreamStory;
    private readonly onDone: () => void;
    private readonly avoided = new Set<string>();
    private timer: TimerHandle | undefined;
    private attempt: StreamAttempt | undefined;
    private queued: QueuedRelay | undefined;
    private failure: WholeAnswer | undefined;
    /** Monotonic time in milliseconds at which the first byte left for an endpoint. */
    private firstSentAt: number | undefined;
    private mayHaveRun = false;
    private isHeadWritten = false;
    private isDone = false;
    /** Whether a move to another chain is being asked for. */
    isRerouting = false;

    private constructor(environment: RelayEnvironment, task: RelayTask, model: EngineModel, onDone: () => void) {
        this.environment = environment;
        this.task = task;
        this.onDone = onDone;
        this.chains = RelayChains.create(environment, task, model);
        this.allowance = RunAllowance.create(environment, task);
        this.quarantine = TaskQuarantine.create(environment, task);
        this.progress = StreamProgress.create(task.request.lastEventId);
        this.story = StreamStory.create(environment, task, this.progress);
    }

    /**
     * Creates the relay of a request; nothing is sent before {@link start}.
     * @param environment - What relayed requests work with.
     * @param task - The request.
     * @param model - Figures of the model that it asks for.
     * @param onDone - Called once when the caller has its answer or has gone.
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
        sink.onClosed(() => this.finish("callerGone"));
        const delay = Math.max(0, dueAt - this.getTime());
        this.timer = this.environment.clock.setTimer(delay, () => this.expire());
        this.startAttempt("no chain of endpoints has room.");
    }

    /** Gets the chain in use; undefined between two runs. */
    getStages(): readonly RelayStage[] | undefined {
        return this.attempt?.stages;
    }

    /** Gets the monotonic time of the last sign of life of the chain in use, in milliseconds. */
    getLastProgress(): number | undefined {
        return this.attempt?.lastProgressAt;
    }

    /** Gets the data centres of the chain in use, in order. */
    getDataCentres(): string[] {
        return listDataCentres(this.attempt?.stages ?? []);
    }

    /** Gets the monotonic time at which the chain in use was asked, in milliseconds. */
    getSentAt(): number | undefined {
        return this.attempt?.sentAt;
    }

    /** Whether the chain in use has brought an event. */
    hasEvents(): boolean {
        return this.attempt?.firstEventAt !== undefined;
    }

    /**
     * Chooses another chain with the same first stage, without certain endpoints.
     * @param avoid - Ids of endpoints that hold the stream up.
     */
    chooseReroute(avoid: ReadonlySet<string>): RelayStage[] | undefined {
        const [firstStage] = this.attempt?.stages ?? [];
        if (firstStage === undefined || avoid.has(firstStage.endpoint.id) || this.quarantine.getHold() !== undefined) {
            return undefined;
        }
        const all = new Set([...this.avoided, ...avoid]);
        return this.chains.choose({ avoid: all, firstStage, mayOverfill: true });
    }

    /** Notes that endpoints are lost; where the request had just begun to run there, it may be what ended them. */
    noteLost(endpointIds: ReadonlySet<string>): void {
        for (const { endpoint } of this.attempt?.stages ?? []) {
            if (endpointIds.has(endpoint.id)) {
                this.quarantine.noteEnded(endpoint.id, this.attempt!.sentAt);
            }
        }
    }

    /** Notes that the endpoints took the move to another chain. */
    completeReroute(stages: RelayStage[]): void {
        const { attempt } = this;
        if (attempt === undefined) {
            return;
        }
        attempt.reservation.release();
        attempt.stages = stages;
        attempt.reservation = this.chains.reserve(stages);
        attempt.lastProgressAt = this.getTime();
        this.story.writeReroute(stages);
    }

    /**
     * Gives the chain in use up and goes on over another one.
     * @param avoid - Ids of endpoints that are at fault.
     * @param cause - What was found.
     */
    abandonChain(avoid: string[], cause: string): void {
        const { attempt } = this;
        if (attempt === undefined) {
            return;
        }
        const isUnsent = attempt.exchange?.getSentTime() === undefined;
        attempt.exchange?.abort();
        this.endAttempt(attempt, { isNotRun: isUnsent, isUnsent, cause, avoid });
    }

    /**
     * Sends the request over the best chain, lets it wait for one, or gives it up.
     * @param cause - Why there is no answer yet.
     * @param isRepeat - Whether an endpoint got the request before, which the budget of repeats bounds.
     */
    private startAttempt(cause: string, isRepeat = false): void {
        if (this.reviewHold(cause)) {
            return;
        }
        if (!this.allowance.mayRunAgain()) {
            this.giveUp(`${cause} The route allows no further endpoint.`);
            return;
        }
        if (this.isHeadWritten) {
            this.resume(cause, isRepeat);
            return;
        }
        const { environment, task, chains, avoided } = this;
        this.queued = createQueuedRelay({
            environment,
            task,
            chains,
            avoided,
            isRepeat,
            start: place => {
                this.queued = undefined;
                this.startQueued(place, cause);
            },
            refuse: (reason, retryAfterMilliseconds) => {
                this.queued = undefined;
                this.turnAway(`${cause} ${reason}`, retryAfterMilliseconds);
            },
        });
        environment.queue.ask(this.queued);
    }

    /** Takes a place in a chain, unless endpoints have ended under the request while it waited. */
    private startQueued(place: RelayPlace, cause: string): void {
        if (this.reviewHold(cause)) {
            this.environment.queue.noteEnd(this.chains.getTokens(), undefined);
            this.chains.giveBack(place.stages);
            place.reservation.release();
            return;
        }
        this.runAttempt(place);
    }

    /** Ends the request where it is held back. Returns whether it is. */
    private reviewHold(cause: string): boolean {
        const hold = this.quarantine.getHold();
        if (hold !== undefined) {
            this.giveUp(`${cause} Endpoints end while they run this request.`, createRefusal.heldBack(hold));
        }
        return hold !== undefined;
    }

    /** Goes on with a stream that has begun. It does not wait for room: its caller would leave. */
    private resume(cause: string, isRepeat: boolean): void {
        const { environment, chains, avoided, task } = this;
        environment.limits.noteRequest(task.service.name, this.getTime());
        const stages = chains.chooseOpen({ avoid: avoided, mayOverfill: true, closed: new Set() });
        if (stages === undefined) {
            this.giveUp(`${cause} No other chain has room.`);
            return;
        }
        if (isRepeat && !environment.repeats.takeRetry(this.getTime())) {
            chains.giveBack(stages);
            this.giveUp(`${cause} The budget of repeats is used up.`);
            return;
        }
        environment.queue.noteStart();
        this.runAttempt({ stages, reservation: chains.reserve(stages) });
    }

    private turnAway(cause: string, retryAfterMilliseconds: number): void {
        const { log, deadlines } = this.environment;
        deadlines.noteRefusal(this.getTime());
        log.write(events.relayTurnedAway, {
            request: this.task.request.id,
            cause,
            isReturn: this.task.isReturn,
            retryAfterMilliseconds: Math.round(retryAfterMilliseconds),
            waitedMilliseconds: Math.round(this.getTime() - this.task.request.arrivedAt),
        });
        this.giveUp(cause, createRefusal.notRun(cause, retryAfterMilliseconds));
    }

    private runAttempt({ stages, reservation }: RelayPlace): void {
        this.allowance.noteSending();
        const now = this.getTime();
        const attempt: StreamAttempt = {
            stages,
            sentAt: now,
            reservation,
            exchange: undefined,
            lastProgressAt: now,
            firstEventAt: undefined,
        };
        this.attempt = attempt;
        this.send(attempt, stages);
    }

    private send(attempt: StreamAttempt, stages: RelayStage[]): void {
        const { environment } = this;
        const { protocol, pools } = environment;
        const { request, customer, dueAt } = this.task;
        const { endpoint } = stages[0]!;
        const createRequest = () => {
            const remainingMilliseconds = dueAt - this.getTime();
            const lastEventId = this.progress.getLastId();
            return protocol.createRequest(request, { endpoint, customer, remainingMilliseconds, stages, lastEventId });
        };
        const reader = StreamAnswerReader.create({
            protocol,
            requestId: request.id,
            onHead: head => environment.limits.noteAnswer(endpoint.id, head.requestsPerSecond, this.getTime()),
            onEvent: (event, head) => this.takeEvent(attempt, head, event),
            onEnd: end => this.takeEnd(attempt, end),
        });
        attempt.exchange = pools.getPool(endpoint.address).sendForCaller(createRequest, {
            onHead: (status, headers) => reader.takeHead(status, headers),
            onData: chunk => reader.takeData(chunk),
            onEnd: () => reader.takeEnd(),
            onFailure: failure => this.takeFailure(attempt, failure),
        });
    }

    private takeEvent(attempt: StreamAttempt, head: AnswerHead, event: StreamEvent): void {
        if (attempt !== this.attempt) {
            return;
        }
        const now = this.getTime();
        this.mayHaveRun = true;
        attempt.lastProgressAt = now;
        for (const { endpoint } of attempt.stages) {
            this.environment.health.noteAlive(endpoint.id, now);
        }
        if (now - (attempt.firstEventAt ?? now) >= outlivedMilliseconds) {
            this.quarantine.noteOutlived();
        }
        if (attempt.firstEventAt === undefined) {
            attempt.firstEventAt = now;
            this.environment.crossings.note(listDataCentres(attempt.stages), now - attempt.sentAt, now);
            this.environment.firstEvents.note(now - attempt.sentAt);
            for (const { endpoint } of attempt.stages) {
                this.environment.health.addSuccess(endpoint.id, now);
            }
        }
        const verdict = this.progress.take(event.id, now);
        if (verdict === EventVerdict.Gap) {
            attempt.exchange?.abort();
            this.endAttempt(attempt, { isNotRun: false, cause: "an event of the stream is missing.", avoid: [] });
            return;
        }
        if (verdict === EventVerdict.Pass) {
            this.writeHead(head);
            this.task.sink.write(event.bytes);
        }
    }

    private writeHead(head: AnswerHead): void {
        if (!this.isHeadWritten) {
            this.isHeadWritten = true;
            this.task.sink.writeHead(head);
        }
    }

    private takeEnd(attempt: StreamAttempt, end: StreamAnswerEnd): void {
        if (attempt !== this.attempt) {
            return;
        }
        const firstId = attempt.stages[0]!.endpoint.id;
        switch (end.kind) {
            case "whole":
                this.complete(end.head);
                return;
            case "refused": {
                const { head } = end;
                this.allowance.noteRefusal();
                const avoid = this.noteRefusal(getFaulty(attempt, head.faultyAddress), head.status);
                this.endAttempt(attempt, { isNotRun: true, cause: `the endpoint refused it (${head.status}).`, avoid });
                return;
            }
            case "failed": {
                const { head, answer } = end;
                const cause = `the endpoint answered ${head.status}${head.isSigned ? "" : " without a signature"}.`;
                this.endAttempt(attempt, { isNotRun: false, cause, avoid: [firstId], failure: answer });
                return;
            }
            case "cut":
                this.endAttempt(attempt, { isNotRun: false, cause: "the stream ended within an event.", avoid: [] });
                return;
            case "foreign":
                attempt.exchange?.abort();
                this.endAttempt(attempt, {
                    isNotRun: false,
                    cause: "the answer belongs to another request.",
                    avoid: [firstId],
                });
        }
    }

    private complete(head: AnswerHead): void {
        this.quarantine.noteOutlived();
        this.writeHead(head);
        this.task.sink.end();
        this.finish("answered");
    }

    private takeFailure(attempt: StreamAttempt, failure: UpstreamFailure): void {
        if (attempt !== this.attempt) {
            return;
        }
        const { id } = attempt.stages[0]!.endpoint;
        const isNotRun = failure.kind === UpstreamFailureKind.NotSent;
        const cause = `the connection to the first stage failed (${failure.message}).`;
        if (isNotRun) {
            this.environment.health.addLoss(id, this.getTime());
        }
        this.endAttempt(attempt, { isNotRun, isUnsent: isNotRun, isBroken: !isNotRun, cause, avoid: [id] });
    }

    private noteRefusal(endpoint: RegisteredEndpoint, status: number): string[] {
        const { environment, chains, task } = this;
        const memoryPart = chains.getMemoryPart(endpoint);
        return noteRefusal({ environment, requestId: task.request.id, endpoint, status, memoryPart });
    }

    private endAttempt(attempt: StreamAttempt, end: StreamAttemptEnd): void {
        if (this.isDone || attempt !== this.attempt) {
            return;
        }
        this.leave(attempt);
        this.attempt = undefined;
        if (!end.isNotRun) {
            this.mayHaveRun = true;
            this.allowance.noteRun(attempt.stages[0]!.endpoint.id);
        }
        if (end.isBroken === true) {
            this.quarantine.noteEnded(attempt.stages[0]!.endpoint.id, attempt.sentAt);
        }
        this.failure = end.failure ?? this.failure;
        for (const id of end.avoid) {
            this.avoided.add(id);
        }
        const sendings = this.allowance.getSendings();
        const memoryPart = this.chains.getMemoryPart(attempt.stages[0]!.endpoint);
        this.story.writeFailure({ attempt, end, sendings, memoryPart });
        if (end.isNotRun || this.isRepeatable()) {
            this.startAttempt(end.cause, !end.isUnsent);
            return;
        }
        this.giveUp(end.cause);
    }

    /** Gives back what an attempt has taken. */
    private leave(attempt: StreamAttempt): void {
        const held = attempt.firstEventAt !== undefined ? this.getTime() - attempt.sentAt : undefined;
        this.environment.queue.noteEnd(this.chains.getTokens(), held);
        this.firstSentAt ??= attempt.exchange?.getSentTime();
        attempt.reservation.release();
    }

    private isRepeatable(): boolean {
        return this.task.route.isResumable;
    }

    /**
     * Ends the request without a whole answer.
     * @param cause - Why.
     * @param notRun - What its caller is told where nothing of it has run.
     */
    private giveUp(cause: string, notRun: RelayRefusal = createRefusal.notRun(cause)): void {
        const { failure } = this;
        if (this.isHeadWritten) {
            this.task.sink.cut();
            this.finish("cut", cause);
            return;
        }
        if (failure !== undefined) {
            sendWholeAnswer(this.task.sink, failure);
            this.finish("endpointFailed", cause);
            return;
        }
        this.refuse(this.mayHaveRun ? createRefusal.outcomeUnknown(cause) : notRun);
    }

    private expire(): void {
        if (this.isHeadWritten) {
            this.task.sink.cut();
            this.finish("cutAtTimeout");
            return;
        }
        const isNotRun = !this.mayHaveRun && this.attempt?.exchange?.getSentTime() === undefined;
        this.refuse(isNotRun ? createRefusal.notRun("no chain had room in time.") : createRefusal.timedOut());
    }

    private refuse(refusal: RelayRefusal): void {
        this.task.sink.refuse(refusal);
        this.finish(refusal.reason, refusal.message);
    }

    private finish(outcome: string, cause = ""): void {
        if (this.isDone) {
            return;
        }
        this.isDone = true;
        this.timer?.cancel();
        if (this.queued !== undefined) {
            this.environment.queue.remove(this.queued);
        }
        const { attempt } = this;
        this.attempt = undefined;
        attempt?.exchange?.abort();
        if (attempt !== undefined) {
            this.leave(attempt);
        }
        const { firstSentAt } = this;
        this.story.writeEnd({ outcome, cause, sendings: this.allowance.getSendings(), attempt, firstSentAt });
        this.onDone();
    }

    private getTime(): number {
        return this.environment.clock.getMonotonicTime();
    }
}

/** Gets the endpoint of a chain that an answer names as being at fault; the first one where it names none. */
function getFaulty({ stages }: StreamAttempt, address: string | undefined): RegisteredEndpoint {
    return (stages.find(({ endpoint }) => endpoint.address === address) ?? stages[0]!).endpoint;
}
