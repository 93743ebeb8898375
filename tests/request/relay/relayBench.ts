import { endpointProtocol } from "../../../platform/endpointProtocol.ts";
import { EndpointInstructions } from "../../../src/connection/instructions/endpointInstructions.ts";
import { PathState } from "../../../src/connection/upstream/path/pathState.ts";
import type { UpstreamListener } from "../../../src/connection/upstream/upstreamListener.ts";
import { RetryBudget } from "../../../src/request/admission/retryBudget.ts";
import { RetryDetector } from "../../../src/request/admission/start/retryDetector.ts";
import { StreamRetries } from "../../../src/request/admission/streamRetries.ts";
import type { AnswerSink } from "../../../src/request/relay/answers/answerSink.ts";
import { EndpointEnds } from "../../../src/request/relay/endpoints/endpointEnds.ts";
import { EndpointHealth } from "../../../src/request/relay/endpoints/endpointHealth.ts";
import { EndpointLoads } from "../../../src/request/relay/endpoints/endpointLoads.ts";
import { FirstEventTimes } from "../../../src/request/relay/endpoints/firstEventTimes.ts";
import type { RegisteredEndpoint } from "../../../src/request/relay/endpoints/registeredEndpoint.ts";
import { EndpointLimits } from "../../../src/request/relay/limits/endpointLimits.ts";
import { LinkAdmission } from "../../../src/request/relay/links/linkAdmission.ts";
import { LinkDelays } from "../../../src/request/relay/links/linkDelays.ts";
import { LinkTraffic } from "../../../src/request/relay/links/linkTraffic.ts";
import { RequestQuarantine } from "../../../src/request/relay/quarantine/requestQuarantine.ts";
import { RelayQueue } from "../../../src/request/relay/queue/relayQueue.ts";
import type { RelayEnvironment } from "../../../src/request/relay/relayEnvironment.ts";
import type { RelayTask } from "../../../src/request/relay/relayTask.ts";
import { AnswerTimes } from "../../../src/request/relay/stop/answerTimes.ts";
import { NodeStop } from "../../../src/request/relay/stop/nodeStop.ts";
import type { RequestKind } from "../../../src/version/routing/requestKind.ts";
import { FakeClock } from "../../support/fakeClock.ts";
import { RecordingEventLog } from "../../support/recordingEventLog.ts";
import { relayModel } from "./relayModel.ts";

/** A request that was passed to a connection. */
interface SentRequest {
    address: string;
    headers: readonly string[];
    listener: UpstreamListener;
    /** Time at which its first byte was sent. */
    sentAt: number | undefined;
    isAborted: boolean;
    /** Whether its answer is not read. */
    isPaused: boolean;
}

/** Relay dependencies with fake connections that a test controls. */
export class RelayBench {
    readonly clock = FakeClock.create();
    readonly log = RecordingEventLog.create();
    readonly sentRequests: SentRequest[] = [];
    /** Final answers to the caller, such as `notRun` or `200`. */
    readonly answers: string[] = [];
    /** Disconnects the caller of the last task. */
    leave: () => void = () => undefined;
    /** Whether the callers have not taken what was written to them. */
    isCallerSlow = false;
    /** Has the caller of the last task take what was written. */
    drain: () => void = () => undefined;
    /** Time that the test of a path takes. */
    pathTestMilliseconds = 0;
    /** Result of the test of a path. */
    pathState: PathState = PathState.Down;
    readonly environment: RelayEnvironment;

    private constructor(endpoints: RegisteredEndpoint[]) {
        const { clock, log } = this;
        const random = () => 0.5;
        const queue = RelayQueue.create({ clock, random, log });
        const health = EndpointHealth.create();
        const linkDelays = LinkDelays.create();
        const retryBudget = RetryBudget.create(0);
        this.environment = {
            dataCentre: "a",
            clock,
            random,
            log,
            protocol: endpointProtocol,
            pools: {
                getPool: address => ({
                    hasIdle: () => true,
                    hasBytesSince: () => this.pathState !== PathState.Lost,
                    sendForCaller: (createRequest, listener) => this.send(address, createRequest().headers, listener),
                }),
            },
            directory: {
                getEndpoints: service => endpoints.filter(endpoint => endpoint.service === service),
                getEndpointAt: address => endpoints.find(endpoint => endpoint.address === address),
                getSlowness: () => 1,
                getHiddenTokenLayers: () => 0,
            },
            loads: EndpointLoads.create(() => queue.wake()),
            health,
            ends: EndpointEnds.create(),
            refusalDetector: { check: () => Promise.resolve() },
            limits: EndpointLimits.create({
                log,
                random,
                chooseSharers: () => ({ count: 1, includesAllNodes: true, includesThisNode: true }),
            }),
            instructions: EndpointInstructions.create({ clock, log }),
            quarantine: RequestQuarantine.create({
                log,
                getAliveTime: endpointId => health.getLastAliveTime(endpointId),
            }),
            retryBudget,
            streamRetries: StreamRetries.create({ budget: retryBudget, onNeed: () => undefined }),
            queue,
            firstEvents: FirstEventTimes.create(),
            retryDetector: RetryDetector.create(),
            linkDelays,
            linkTraffic: LinkTraffic.create(),
            links: LinkAdmission.create({
                random,
                log,
                delays: linkDelays,
                getDemand: () => queue.getDemand(),
                getNodeCount: () => 1,
            }),
            answerTimes: AnswerTimes.create(),
            stop: NodeStop.create(),
            getNodeCount: () => 1,
            getLiveNodeCount: () => 1,
            getConditions: () => ({ configurationVersion: 1, configurationAgeMilliseconds: 0, lagMilliseconds: 0 }),
        };
    }

    /** Creates the dependencies for a set of endpoints. */
    static create(endpoints: RegisteredEndpoint[]): RelayBench {
        return new RelayBench(endpoints);
    }

    /** Creates a request of a kind for the endpoints' service. */
    createTask(kind: RequestKind, isResumable = false): RelayTask {
        const sink: AnswerSink = {
            onClosed: callback => this.leave = callback,
            writeHead: ({ status }) => this.answers.push(String(status)),
            write: () => undefined,
            needsDrain: () => this.isCallerSlow,
            onDrain: callback => this.drain = callback,
            end: () => undefined,
            refuse: ({ reason }) => this.answers.push(reason),
            abort: () => this.answers.push("cut"),
        };
        return {
            request: {
                id: "request",
                method: "POST",
                host: "h",
                target: "/",
                headers: [],
                body: Buffer.alloc(0),
                apiKey: undefined,
                arrivedAt: 0,
                deadlineMilliseconds: 1_000,
                lastEventId: 0,
                promptTokens: 800,
                maximumAnswerTokens: 400,
                expectedAnswerTokens: 200,
                promptParts: [],
            },
            route: {
                name: "r",
                host: "h",
                prefix: "/",
                kind,
                services: [{ service: "model", weight: 1 }],
                timeoutMilliseconds: 1_000,
                targetLatencyMilliseconds: 100,
                maximumEventGapMilliseconds: 200,
                maximumAttempts: 1,
                priority: 1,
                isPublic: true,
                isResumable,
            },
            service: { name: "model", maximumConnections: 10, engine: relayModel },
            customer: undefined,
            fingerprint: "fingerprint",
            partKeys: [],
            sink,
            rank: 1,
            ranks: [1],
            takenUpLateMilliseconds: 0,
            isReturn: false,
            dueAt: 1_000,
        };
    }

    private send(address: string, headers: readonly string[], listener: UpstreamListener) {
        const sentRequest: SentRequest = {
            address,
            headers,
            listener,
            sentAt: undefined,
            isAborted: false,
            isPaused: false,
        };
        this.sentRequests.push(sentRequest);
        return {
            abort: () => {
                sentRequest.isAborted = true;
            },
            pause: () => sentRequest.isPaused = true,
            resume: () => sentRequest.isPaused = false,
            getSentTime: () => sentRequest.sentAt,
            getPeer: () => undefined,
            isPathLost: () => false,
            testPath: (onDone: (state: PathState) => void) => {
                if (this.pathTestMilliseconds === 0) {
                    onDone(this.pathState);
                    return;
                }
                this.clock.setTimer(this.pathTestMilliseconds, () => onDone(this.pathState));
            },
        };
    }
}
