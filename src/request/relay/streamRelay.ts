import type { IncomingHttpHeaders } from "node:http";
import type { UpstreamExchange } from "../../connection/upstream/upstreamConnection.ts";
import { type UpstreamFailure, UpstreamFailureKind } from "../../connection/upstream/upstreamFailure.ts";
import type { TimerHandle } from "../../process/clock.ts";
import { events } from "../../process/logging/events.ts";
import type { EngineModel } from "../../version/routing/engineModel.ts";
import type { AnswerHead } from "./answerHead.ts";
import { assertTiling } from "./assertTiling.ts";
import { chooseStages, type StageQuery } from "./chooseStages.ts";
import { createRefusal } from "./createRefusal.ts";
import type { LoadReservation } from "./endpointLoads.ts";
import { EventSplitter } from "./eventSplitter.ts";
import type { StreamEvent } from "./eventSplitter.ts";
import { getCrossingBits } from "./getCrossingBits.ts";
import { listCandidates } from "./listCandidates.ts";
import type { RelayEnvironment } from "./relayEnvironment.ts";
import type { QueuedRelay } from "./relayQueue.ts";
import type { RelayRefusal } from "./relayRefusal.ts";
import type { RelayStage } from "./relayStage.ts";
import type { RelayTask } from "./relayTask.ts";

/** One run of the request on one chain. */
interface Attempt {
    stages: RelayStage[];
    sentAt: number;
    reservation: LoadReservation;
    exchange: UpstreamExchange | undefined;
    head: AnswerHead | undefined;
    splitter: EventSplitter;
    /** Body of an answer that is no stream of events. */
    chunks: Buffer[];
    /** Whether the last event of this run has reached the caller, and when; for the search of stalled chains. */
    lastProgressAt: number;
    /** Whether this run has brought an event. */
    hasEvents: boolean;
}

/** Why a run brought no further events. */
interface AttemptEnd {
    /** Whether the chain has surely not run the request. */
    isNotRun: boolean;
    /** Whether no byte of it was sent. */
    isUnsent?: boolean;
    cause: string;
    /** Endpoints that the next chain avoids. */
    avoid: string[];
    /** A whole answer of the endpoint that is no success; passed on where nothing better comes. */
    failure?: { head: AnswerHead; body: Buffer; };
}

/** Refusals are followed by another chain up to so many times, since they cost the caller nothing. */
const mostRefusals = 4;
/**
 * A request waits for room at most this long. Callers leave a stream after 2 s without an event, and a first event takes up
 * to 300 ms under load; a late answer is worth more to them than a refusal.
 */
const longestWaitMilliseconds = 1_200;
/** However many first stages are lost, a request is not sent more often than this. */
const mostAttempts = 6;
const bitsOfMegabit = 1_000_000;
const successStatus = 200;
const redirectStatus = 300;

/**
 * Forwards one streamed request over a chain of endpoints and passes its events on as they come. Where the chain is
 * lost, the stream goes on from its last event over another one, in the same answer. Every event has a higher id than
 * the one before, whatever the runs bring.
 */
export class StreamRelay {
    readonly task: RelayTask;
    private readonly environment: RelayEnvironment;
    private readonly model: EngineModel;
    private readonly onDone: () => void;
    private readonly avoided = new Set<string>();
    private timer: TimerHandle | undefined;
    private attempt: Attempt | undefined;
    private attempts = 0;
    private refusals = 0;
    /** First stages that may have run the request. */
    private readonly ranAt = new Set<string>();
    private reroutes = 0;
    private mayHaveRun = false;
    private isHeadWritten = false;
    private lastEventId: number;
    private eventCount = 0;
    private longestGap = 0;
    private firstEventAt: number | undefined;
    private isDone = false;
    private queued: QueuedRelay | undefined;
    /** Whether a move to another chain is being asked for. */
    isRerouting = false;

    private constructor(environment: RelayEnvironment, task: RelayTask, model: EngineModel, onDone: () => void) {
        this.environment = environment;
        this.task = task;
        this.model = model;
        this.onDone = onDone;
        this.lastEventId = task.request.lastEventId;
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
        this.startAttempt("no chain of endpoints holds all layers.");
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
        return this.attempt?.hasEvents === true;
    }

    /**
     * Chooses another chain with the same first stage, without certain endpoints.
     * @param avoid - Ids of endpoints that hold the stream up.
     */
    chooseReroute(avoid: ReadonlySet<string>): RelayStage[] | undefined {
        const [firstStage] = this.attempt?.stages ?? [];
        if (firstStage === undefined || avoid.has(firstStage.endpoint.id)) {
            return undefined;
        }
        return this.chooseChain(new Set([...this.avoided, ...avoid]), firstStage, true);
    }

    /** Notes that the endpoints took the move to another chain. */
    completeReroute(stages: RelayStage[]): void {
        const { attempt } = this;
        if (attempt === undefined) {
            return;
        }
        this.notePipes(stages);
        attempt.reservation.release();
        attempt.stages = stages;
        attempt.reservation = this.environment.loads.reserveStages(stages, this.getTokens());
        attempt.lastProgressAt = this.getTime();
        this.reroutes += 1;
        this.environment.log.write(events.relayRerouted, {
            request: this.task.request.id,
            chain: formatStages(stages),
            lastEvent: this.lastEventId,
        });
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
        attempt.exchange?.abort();
        this.endAttempt(attempt, { isNotRun: false, cause, avoid });
    }

    /**
     * Sends the request over the best chain, lets it wait for one, or gives it up.
     * @param cause - Why there is no answer yet.
     * @param isRepeat - Whether an endpoint got the request before, which the budget of repeats bounds.
     */
    private startAttempt(cause: string, isRepeat = false): void {
        if (!this.mayRunAgain()) {
            this.giveUp(`${cause} The route allows no further endpoint.`);
            return;
        }
        const { queue, repeats } = this.environment;
        const mustWait = this.attempts === 0 && queue.hasBefore(this.task.route.priority);
        // A stream that has begun does not wait for room: its caller would leave.
        const stages = mustWait ? undefined : this.chooseChain(this.avoided, undefined, this.isHeadWritten);
        if (stages === undefined) {
            this.waitForRoom(cause, isRepeat);
            return;
        }
        if (isRepeat && !repeats.takeRetry(this.getTime())) {
            this.giveUp(`${cause} The budget of repeats is used up.`);
            return;
        }
        this.runAttempt(stages);
    }

    private waitForRoom(cause: string, isRepeat: boolean): void {
        const { queue } = this.environment;
        const { arrivedAt } = this.task.request;
        const waitsUntil = Math.min(arrivedAt + longestWaitMilliseconds, this.task.dueAt);
        if (this.isHeadWritten || this.getTime() >= waitsUntil) {
            this.giveUp(`${cause} No other chain has room.`);
            return;
        }
        this.queued = {
            priority: this.task.route.priority,
            arrivedAt,
            waitsUntil,
            tryStart: () => this.startFromQueue(isRepeat),
            giveUp: () => this.giveUp(`${cause} No chain had room in time.`),
        };
        queue.add(this.queued);
    }

    private startFromQueue(isRepeat: boolean): boolean {
        if (this.isDone) {
            return true;
        }
        const stages = this.chooseChain(this.avoided, undefined, false);
        if (stages === undefined || isRepeat && !this.environment.repeats.takeRetry(this.getTime())) {
            return false;
        }
        this.queued = undefined;
        this.runAttempt(stages);
        return true;
    }

    private runAttempt(stages: RelayStage[]): void {
        assertTiling(stages, this.model.layers);
        this.notePipes(stages);
        this.attempts += 1;
        const now = this.getTime();
        const attempt: Attempt = {
            stages,
            sentAt: now,
            reservation: this.environment.loads.reserveStages(stages, this.getTokens()),
            exchange: undefined,
            head: undefined,
            splitter: EventSplitter.create(),
            chunks: [],
            lastProgressAt: now,
            hasEvents: false,
        };
        this.attempt = attempt;
        this.send(attempt, stages, this.task.dueAt - now);
    }

    /** Whether the route allows another run. First stages that were lost since don't count. */
    private mayRunAgain(): boolean {
        if (this.attempts >= mostAttempts || this.refusals > mostRefusals) {
            return false;
        }
        const { directory, health } = this.environment;
        const now = this.getTime();
        const registered = new Set(directory.getEndpoints(this.task.service.name).map(({ id }) => id));
        let soundRuns = 0;
        for (const id of this.ranAt) {
            if (registered.has(id) && !health.isSuspect(id, now)) {
                soundRuns += 1;
            }
        }
        return soundRuns < this.task.route.maximumAttempts;
    }

    private send(attempt: Attempt, stages: RelayStage[], remainingMilliseconds: number): void {
        const { protocol, pools } = this.environment;
        const { request, customer } = this.task;
        const { endpoint } = stages[0]!;
        const context = { endpoint, customer, remainingMilliseconds, stages, lastEventId: this.lastEventId };
        attempt.exchange = pools.getPool(endpoint.address).send(protocol.createRequest(request, context), {
            onHead: (status, headers) => this.takeHead(attempt, status, headers),
            onData: chunk => this.takeData(attempt, chunk),
            onEnd: () => this.takeEnd(attempt),
            onFailure: failure => this.takeFailure(attempt, failure),
        });
    }

    private chooseChain(
        avoid: ReadonlySet<string>,
        firstStage: RelayStage | undefined,
        mayOverfill: boolean,
    ): RelayStage[] | undefined {
        const { environment, model, task } = this;
        const now = this.getTime();
        const query: StageQuery = {
            model,
            promptTokens: task.request.promptTokens || model.usualPromptTokens,
            answerTokens: this.getAnswerTokens(),
            dataCentre: environment.dataCentre,
            pipeUse: this.getPipeUse(),
            firstStage,
            mayOverfill,
            getCrossingDelay: (from, to) => environment.crossings.getExtra(from, to, now),
        };
        const candidates = listCandidates(environment, model, task.service.name)
            .filter(({ endpoint }) => !avoid.has(endpoint.id));
        const sound = candidates.filter(({ isSuspect }) => !isSuspect);
        // An endpoint that is taken as lost may be back; where no chain can do without it, it is tried.
        return chooseStages(query, sound, environment.random) ?? chooseStages(query, candidates, environment.random);
    }

    /** Estimates the use of the pipes from this node's part, since callers are spread over the nodes. */
    private getPipeUse(): number {
        const { pipeLoad, getNodeCount } = this.environment;
        return pipeLoad.getRate(this.getTime()) * getNodeCount() / (this.model.pipeMegabits * bitsOfMegabit);
    }

    private notePipes(stages: readonly RelayStage[]): void {
        let crossings = 0;
        for (const [index, { endpoint }] of stages.entries()) {
            const next = stages[index + 1];
            crossings += next !== undefined && next.endpoint.dataCentre !== endpoint.dataCentre ? 1 : 0;
        }
        this.environment.pipeLoad.add(crossings * getCrossingBits(this.model, this.getTokens()), this.getTime());
    }

    private getTokens(): number {
        return (this.task.request.promptTokens || this.model.usualPromptTokens) + this.getAnswerTokens();
    }

    /** Expects what the caller estimates, or the usual length, within the most that it asks for. */
    private getAnswerTokens(): number {
        const { expectedAnswerTokens, maximumAnswerTokens } = this.task.request;
        return Math.min(expectedAnswerTokens || this.model.usualAnswerTokens, maximumAnswerTokens || Infinity);
    }

    private takeHead(attempt: Attempt, status: number, headers: IncomingHttpHeaders): void {
        const head = this.environment.protocol.readHead(status, headers, this.task.request.id);
        attempt.head = head;
        if (!head.isForRequest) {
            attempt.exchange?.abort();
            const avoid = [attempt.stages[0]!.endpoint.id];
            this.endAttempt(attempt, { isNotRun: false, cause: "the answer belongs to another request.", avoid });
        }
    }

    private takeData(attempt: Attempt, chunk: Buffer): void {
        if (attempt !== this.attempt || attempt.head === undefined) {
            return;
        }
        if (!isSuccess(attempt.head)) {
            attempt.chunks.push(chunk);
            return;
        }
        for (const event of attempt.splitter.push(chunk)) {
            this.takeEvent(attempt, attempt.head, event);
        }
    }

    private takeEvent(attempt: Attempt, head: AnswerHead, event: StreamEvent): void {
        const now = this.getTime();
        this.mayHaveRun = true;
        attempt.lastProgressAt = now;
        if (!attempt.hasEvents) {
            attempt.hasEvents = true;
            this.environment.crossings.note(listDataCentres(attempt.stages), now - attempt.sentAt, now);
            for (const { endpoint } of attempt.stages) {
                this.environment.health.addSuccess(endpoint.id, now);
            }
        }
        if (event.id !== undefined) {
            if (event.id <= this.lastEventId) {
                return;
            }
            this.noteGap(now);
            this.lastEventId = event.id;
        }
        this.writeHead(head);
        this.task.sink.write(event.bytes);
        this.eventCount += 1;
    }

    private noteGap(now: number): void {
        if (this.firstEventAt === undefined) {
            this.firstEventAt = now;
        }
        else {
            this.longestGap = Math.max(this.longestGap, now - this.lastEventAt);
        }
        this.lastEventAt = now;
    }

    private lastEventAt = 0;

    private writeHead(head: AnswerHead): void {
        if (!this.isHeadWritten) {
            this.isHeadWritten = true;
            this.task.sink.writeHead(head);
        }
    }

    private takeEnd(attempt: Attempt): void {
        const { head } = attempt;
        if (attempt !== this.attempt || head === undefined) {
            return;
        }
        const [first] = attempt.stages;
        if (head.isNotRun) {
            this.refusals += 1;
            const faulty = this.getFaulty(attempt, head.faultyAddress);
            // It is leaving or full, which its record may not show for seconds.
            this.environment.health.addLoss(faulty, this.getTime());
            this.endAttempt(attempt, {
                isNotRun: true,
                cause: `the endpoint refused it (${head.status}).`,
                avoid: [faulty],
            });
            return;
        }
        if (!isSuccess(head)) {
            const failure = { head, body: Buffer.concat(attempt.chunks) };
            const avoid = [first!.endpoint.id];
            this.endAttempt(attempt, {
                isNotRun: false,
                cause: `the endpoint answered ${head.status}.`,
                avoid,
                failure,
            });
            return;
        }
        if (attempt.splitter.hasRest()) {
            this.endAttempt(attempt, { isNotRun: false, cause: "the stream ended within an event.", avoid: [] });
            return;
        }
        this.writeHead(head);
        this.task.sink.end();
        this.finish("answered");
    }

    private takeFailure(attempt: Attempt, failure: UpstreamFailure): void {
        if (attempt !== this.attempt) {
            return;
        }
        const { id } = attempt.stages[0]!.endpoint;
        const isNotRun = failure.kind === UpstreamFailureKind.NotSent;
        const cause = `the connection to the first stage failed (${failure.message}).`;
        if (isNotRun) {
            this.environment.health.addLoss(id, this.getTime());
        }
        this.endAttempt(attempt, { isNotRun, isUnsent: isNotRun, cause, avoid: [id] });
    }

    private getFaulty(attempt: Attempt, address: string | undefined): string {
        const stage = attempt.stages.find(({ endpoint }) => endpoint.address === address);
        return (stage ?? attempt.stages[0]!).endpoint.id;
    }

    private endAttempt(attempt: Attempt, end: AttemptEnd): void {
        if (this.isDone || attempt !== this.attempt) {
            return;
        }
        attempt.reservation.release();
        this.attempt = undefined;
        if (!end.isNotRun) {
            this.mayHaveRun = true;
            this.ranAt.add(attempt.stages[0]!.endpoint.id);
        }
        for (const id of end.avoid) {
            this.avoided.add(id);
        }
        this.environment.log.write(events.relayAttemptFailed, {
            request: this.task.request.id,
            chain: formatStages(attempt.stages),
            attempt: this.attempts,
            isNotRun: end.isNotRun,
            cause: end.cause,
            avoided: end.avoid.join(","),
            lastEvent: this.lastEventId,
            milliseconds: Math.round(this.getTime() - attempt.sentAt),
        });
        if (end.isNotRun || this.isRepeatable()) {
            this.startAttempt(end.cause, !end.isUnsent);
            return;
        }
        this.giveUp(end.cause, end.failure);
    }

    private isRepeatable(): boolean {
        return this.task.route.isResumable;
    }

    private giveUp(cause: string, failure?: AttemptEnd["failure"]): void {
        if (this.isHeadWritten) {
            this.task.sink.cut();
            this.finish("cut", cause);
            return;
        }
        if (failure !== undefined) {
            this.task.sink.writeHead(failure.head);
            this.task.sink.write(failure.body);
            this.task.sink.end();
            this.finish("endpointFailed", cause);
            return;
        }
        this.refuse(this.mayHaveRun ? createRefusal.outcomeUnknown(cause) : createRefusal.notRun(cause));
    }

    private expire(): void {
        if (this.isHeadWritten) {
            this.task.sink.cut();
            this.finish("cutAtTimeout");
            return;
        }
        this.refuse(createRefusal.timedOut());
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
        attempt?.reservation.release();
        this.logEnd(outcome, cause, attempt);
        this.onDone();
    }

    private logEnd(outcome: string, cause: string, attempt: Attempt | undefined): void {
        const { request, route } = this.task;
        this.environment.log.write(events.relayEnded, {
            request: request.id,
            route: route.name,
            outcome,
            cause,
            attempts: this.attempts,
            reroutes: this.reroutes,
            events: this.eventCount,
            chain: attempt === undefined ? "" : formatStages(attempt.stages),
            promptTokens: request.promptTokens,
            firstEventMilliseconds: Math.round((this.firstEventAt ?? request.arrivedAt) - request.arrivedAt),
            longestGapMilliseconds: Math.round(this.longestGap),
            milliseconds: Math.round(this.getTime() - request.arrivedAt),
        });
    }

    private getTime(): number {
        return this.environment.clock.getMonotonicTime();
    }
}

function isSuccess(head: AnswerHead): boolean {
    return head.status >= successStatus && head.status < redirectStatus && head.isSigned && !head.isNotRun;
}

function listDataCentres(stages: readonly RelayStage[]): string[] {
    return stages.map(({ endpoint }) => endpoint.dataCentre);
}

function formatStages(stages: readonly RelayStage[]): string {
    return stages.map(({ endpoint, start, end }) => `${endpoint.id}=${start}-${end}`).join(",");
}
