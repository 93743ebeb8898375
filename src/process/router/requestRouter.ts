import type { AnswerSink } from "../../request/relay/answers/answerSink.ts";
import { createRefusal } from "../../request/relay/answers/createRefusal.ts";
import { RefusalReason } from "../../request/relay/answers/refusalReason.ts";
import type { RelayRefusal } from "../../request/relay/answers/relayRefusal.ts";
import { getExpectedAnswerTokens } from "../../request/relay/chains/getExpectedAnswerTokens.ts";
import { getMaximumTokens } from "../../request/relay/chains/getMaximumTokens.ts";
import type { StallDetector } from "../../request/relay/detection/stallDetector.ts";
import { DocumentRelay } from "../../request/relay/documents/documentRelay.ts";
import { fingerprintParts } from "../../request/relay/fingerprintParts.ts";
import { fingerprintRequest } from "../../request/relay/fingerprintRequest.ts";
import type { RelayEnvironment } from "../../request/relay/relayEnvironment.ts";
import type { RelayTask } from "../../request/relay/relayTask.ts";
import { RequestGuard } from "../../request/relay/requestGuard.ts";
import type { RoutedRequest } from "../../request/relay/routedRequest.ts";
import { estimateAnswerDuration } from "../../request/relay/stop/estimateAnswerDuration.ts";
import type { OpenRequest } from "../../request/relay/stop/openRequest.ts";
import { OpenRequests } from "../../request/relay/stop/openRequests.ts";
import { OpenRequestState } from "../../request/relay/stop/openRequestState.ts";
import { shouldEndAtStop } from "../../request/relay/stop/shouldEndAtStop.ts";
import { StreamRelay } from "../../request/relay/streams/streamRelay.ts";
import type { EngineModel } from "../../version/routing/engineModel.ts";
import type { Route } from "../../version/routing/route.ts";
import { events } from "../logging/events.ts";
import type { EventLoopMonitor } from "../loop/eventLoopMonitor.ts";
import { ProcessorAccount } from "../loop/processorAccount.ts";
import { ProcessorCause } from "../loop/processorCause.ts";
import type { Metrics } from "../metrics/metrics.ts";
import { identifyRequest } from "./identifyRequest.ts";
import type { RefusalGate } from "./refusalGate.ts";
import type { RoutingHolder } from "./routingHolder.ts";
import type { StoreCopyState } from "./storeCopyState.ts";

/** Options of a {@link RequestRouter}. */
interface RequestRouterOptions {
    environment: RelayEnvironment;
    routing: RoutingHolder;
    stallDetector: StallDetector;
    metrics: Metrics;
    loop: Pick<EventLoopMonitor, "getLag">;
    /** Holds back refusals of what this node does not know while its copy of the store may be old. */
    refusalGate: RefusalGate;
    /** Gets the copy of the store that requests are routed by. */
    getCopy(): StoreCopyState;
}

const account = ProcessorAccount.ofProcess;
/** Retry delay given to callers; a node without a configuration gets one within about this time. */
const notReadyRetryMilliseconds = 500;
const secondMilliseconds = 1_000;
/** Retry delay given to callers while this node can't prove its copy of the store; by then it has usually asked its peers again. */
const unprovenRetryMilliseconds = 500;
/** Maximum length of a caller's text in the log. */
const maximumLoggedLength = 100;

/** Resolves the route, customer and service of each request, and starts its relay. */
export class RequestRouter {
    private readonly options: RequestRouterOptions;
    private readonly open = OpenRequests.create();

    private constructor(options: RequestRouterOptions) {
        this.options = options;
    }

    /** Creates a router. */
    static create(options: RequestRouterOptions): RequestRouter {
        return new RequestRouter(options);
    }

    /** Routes a request. Its caller gets exactly one answer. */
    handle(request: RoutedRequest, sink: AnswerSink): void {
        const guard = RequestGuard.create({
            log: this.options.environment.log,
            requestId: request.id,
            end: cause => sink.refuse(createRefusal.notRun(cause)),
        });
        const task = guard.run(() => this.createTask(request, sink));
        if (task !== undefined && !this.refuseIfHopeless(task)) {
            this.relay(task);
        }
    }

    /**
     * Ends the requests that wait and can't be answered before this node ends.
     * @param remainingMilliseconds - Time until then.
     */
    endHopeless(remainingMilliseconds: number): void {
        this.open.endHopeless(remainingMilliseconds);
    }

    /** Ends all requests that have no final answer, because this node ends. Returns their number by what happened to them. */
    endOpen(): ReturnType<OpenRequests["endAll"]> {
        return this.open.endAll();
    }

    /** Creates the task of relaying a request. If it can't be relayed, refuses it and returns undefined. */
    private createTask(request: RoutedRequest, sink: AnswerSink): RelayTask | undefined {
        const state = this.options.routing.getState();
        if (state === undefined) {
            const refusal = createRefusal.notRun("this node has no configuration yet.", notReadyRetryMilliseconds);
            this.refuse(request, sink, refusal, 0);
            return undefined;
        }
        const { version } = state.configuration;
        const identified = identifyRequest(state, request);
        if (identified.err) {
            this.refuseUnknown(request, sink, identified.val, version);
            return undefined;
        }
        const { route, customer } = identified.val;
        const service = state.configuration.services.get(this.chooseService(route));
        if (service === undefined) {
            this.refuse(request, sink, createRefusal.notRun("its route names no known service."), version);
            return undefined;
        }
        if (service.engine !== undefined && !fitsAnyEndpoint(request, service.engine)) {
            const message = "No endpoint has memory for so many tokens. Send fewer.";
            this.refuse(request, sink, { reason: RefusalReason.Malformed, message }, version);
            return undefined;
        }
        const dueAt = request.arrivedAt
            + Math.min(route.timeoutMilliseconds, request.deadlineMilliseconds ?? Infinity);
        const rank = state.getRank(customer, route);
        const { retryDetector, clock } = this.options.environment;
        const isReturn = retryDetector.observeRequest(
            route.name,
            request.deadlineMilliseconds,
            clock.getMonotonicTime(),
        );
        const fingerprint = fingerprintRequest(request, customer);
        const takenUpLateMilliseconds = this.options.loop.getLag();
        return {
            request,
            route,
            service,
            customer,
            fingerprint,
            partKeys: fingerprintParts(request, service.name),
            sink,
            rank,
            ranks: state.getRanks(service.name),
            takenUpLateMilliseconds,
            isReturn,
            dueAt,
        };
    }

    private relay(task: RelayTask): void {
        const { environment, stallDetector, metrics } = this.options;
        const { request, service } = task;
        environment.retryBudget.observeRequest();
        metrics.relaysInProgress.inc();
        const finish = () => {
            metrics.relaysInProgress.dec();
            const seconds = (environment.clock.getMonotonicTime() - request.arrivedAt) / secondMilliseconds;
            metrics.requestSeconds.observe({ service: service.name }, seconds);
        };
        if (service.engine === undefined) {
            account.reassign(ProcessorCause.StreamHead, ProcessorCause.Document);
            const relay = DocumentRelay.create(environment, task, () => {
                this.open.remove(relay);
                finish();
            });
            this.open.add(relay);
            relay.start();
            return;
        }
        const relay = StreamRelay.create(environment, task, service.engine, () => {
            stallDetector.remove(relay);
            this.open.remove(relay);
            finish();
        });
        stallDetector.add(relay);
        this.open.add(relay);
        relay.start();
    }

    /** Refuses a request that can't be answered before this node ends. Returns whether it is refused. */
    private refuseIfHopeless(task: RelayTask): boolean {
        const { environment, metrics } = this.options;
        const { request, route, sink } = task;
        const now = environment.clock.getMonotonicTime();
        const remainingMilliseconds = environment.stop.getRemainingTime(now);
        if (remainingMilliseconds === Infinity) {
            return false;
        }
        const neededMilliseconds = estimateAnswerDuration(environment, task);
        const isHopeless = shouldEndAtStop({
            state: OpenRequestState.Waiting,
            neededMilliseconds,
            remainingMilliseconds,
        });
        if (isHopeless) {
            const refusal = createRefusal.stopping("this node is shutting down and would end before its answer.");
            environment.log.write(events.refusedAtStop, {
                request: request.id,
                route: route.name,
                neededMilliseconds: Math.round(neededMilliseconds),
                remainingMilliseconds: Math.round(remainingMilliseconds),
            });
            metrics.refusalsTotal.inc({ reason: refusal.reason });
            sink.refuse(refusal);
        }
        return isHopeless;
    }

    private chooseService({ services }: Route): string {
        let total = 0;
        for (const { weight } of services) {
            total += weight;
        }
        let remainder = this.options.environment.random() * total;
        for (const { service, weight } of services) {
            remainder -= weight;
            if (remainder < 0) {
                return service;
            }
        }
        return services[0]?.service ?? "";
    }

    /** Refuses a request for what this node does not know, once its copy of the store is proven to be current. */
    private refuseUnknown(request: RoutedRequest, sink: AnswerSink, refusal: RelayRefusal, version: number): void {
        const { refusalGate, environment: { clock } } = this.options;
        if (refusalGate.isOpen()) {
            this.refuse(request, sink, refusal, version);
            return;
        }
        const dueAt = request.arrivedAt + (request.deadlineMilliseconds ?? Infinity);
        const waiting: OpenRequest = {
            getState: () => OpenRequestState.Waiting,
            getNeededTime: () => 0,
            endAtStop: () => {
                cancel();
                this.open.remove(waiting);
                this.refuse(request, sink, createRefusal.stopping("this node is shutting down."), version);
            },
        };
        let cancel = () => undefined as void;
        this.open.add(waiting);
        cancel = refusalGate.wait(dueAt - clock.getMonotonicTime(), isProven => {
            this.open.remove(waiting);
            if (isProven) {
                this.handle(request, sink);
                return;
            }
            const cause = "this node's configuration may lack the latest changes.";
            this.refuse(request, sink, createRefusal.notRun(cause, unprovenRetryMilliseconds), version);
        });
        sink.onClosed(() => {
            cancel();
            this.open.remove(waiting);
        });
    }

    private refuse(request: RoutedRequest, sink: AnswerSink, refusal: RelayRefusal, version: number): void {
        const { environment, metrics, getCopy } = this.options;
        const { reason } = refusal;
        environment.log.write(events.relayRefused, {
            request: request.id,
            reason,
            configurationVersion: version,
            host: request.host.slice(0, maximumLoggedLength),
            path: getPath(request.target).slice(0, maximumLoggedLength),
            ...getCopy(),
        });
        metrics.refusalsTotal.inc({ reason });
        sink.refuse(refusal);
    }
}

/** Checks if an endpoint could hold a request. One that is larger than all memory would distort the estimates for the others. */
function fitsAnyEndpoint(request: RoutedRequest, model: EngineModel): boolean {
    return request.promptTokens + getExpectedAnswerTokens(model, request) <= getMaximumTokens(model);
}

/** Gets the path of a target without its query, which may hold what must not be logged. */
function getPath(target: string): string {
    const queryStart = target.indexOf("?");
    return queryStart === -1 ? target : target.slice(0, queryStart);
}
