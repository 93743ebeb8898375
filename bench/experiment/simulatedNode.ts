import type { EndpointAddress } from "../../src/connection/endpoint/endpointAddress.ts";
import { EndpointInstructions } from "../../src/connection/instructions/endpointInstructions.ts";
import type { Clock } from "../../src/process/clock.ts";
import type { RandomSource } from "../../src/process/randomSource.ts";
import { EndpointReadings } from "../../src/process/router/endpointReadings.ts";
import { RetryBudget } from "../../src/request/admission/retryBudget.ts";
import { RetryDetector } from "../../src/request/admission/start/retryDetector.ts";
import { StreamRetries } from "../../src/request/admission/streamRetries.ts";
import { EndpointEnds } from "../../src/request/relay/endpoints/endpointEnds.ts";
import { EndpointHealth } from "../../src/request/relay/endpoints/endpointHealth.ts";
import { EndpointLoads } from "../../src/request/relay/endpoints/endpointLoads.ts";
import { FirstEventTimes } from "../../src/request/relay/endpoints/firstEventTimes.ts";
import type { RelayDirectory } from "../../src/request/relay/endpoints/relayDirectory.ts";
import { EndpointLimits } from "../../src/request/relay/limits/endpointLimits.ts";
import { LinkAdmission } from "../../src/request/relay/links/linkAdmission.ts";
import { LinkDelays } from "../../src/request/relay/links/linkDelays.ts";
import { LinkTraffic } from "../../src/request/relay/links/linkTraffic.ts";
import { RequestQuarantine } from "../../src/request/relay/quarantine/requestQuarantine.ts";
import { RelayQueue } from "../../src/request/relay/queue/relayQueue.ts";
import type { RelayEnvironment } from "../../src/request/relay/relayEnvironment.ts";
import { AnswerTimes } from "../../src/request/relay/stop/answerTimes.ts";
import { NodeStop } from "../../src/request/relay/stop/nodeStop.ts";
import { Mechanism } from "./mechanism.ts";
import type { SimulatedEngine } from "./simulatedEngine.ts";
import type { SimulatedEngines } from "./simulatedEngines.ts";
import { simulatedProtocol } from "./simulatedProtocol.ts";

/** Options of a {@link SimulatedNode}. */
interface SimulatedNodeOptions {
    index: number;
    nodeCount: number;
    dataCentre: string;
    clock: Clock;
    random: RandomSource;
    simulation: SimulatedEngines;
    engines: readonly SimulatedEngine[];
    without: ReadonlySet<Mechanism>;
}

/** As in the poller of production. */
const minimumHiddenFraction = 0.05;
const retryBudgetPolicy = { ratio: 0.15, perSecond: 0.2, maximumBalance: 17 };

/** A node that runs the routing code of production on simulated engines. */
export class SimulatedNode {
    readonly nodeId: string;
    readonly dataCentre: string;
    readonly environment: RelayEnvironment;
    private readonly readings = EndpointReadings.create();
    private readonly without: ReadonlySet<Mechanism>;

    private constructor(options: SimulatedNodeOptions) {
        const { index, nodeCount, dataCentre, clock, random, simulation, engines, without } = options;
        this.nodeId = `node-${String(index).padStart(3, "0")}`;
        this.dataCentre = dataCentre;
        this.without = without;
        const log = { write: () => undefined };
        const queue = RelayQueue.create({ clock, random, log });
        const loads = EndpointLoads.create(
            () => queue.wake(),
            () => without.has(Mechanism.ExpectedLoads) ? 0 : nodeCount - 1,
        );
        const retryDetector = RetryDetector.create();
        const health = EndpointHealth.create();
        const ends = EndpointEnds.create();
        const linkDelays = LinkDelays.create();
        const quarantine = RequestQuarantine.create({
            log,
            getAliveTime: endpointId => health.getLastAliveTime(endpointId),
        });
        const retryBudget = RetryBudget.create(clock.getMonotonicTime(), () => retryBudgetPolicy);
        this.environment = {
            dataCentre,
            clock,
            random,
            log,
            protocol: simulatedProtocol,
            pools: {
                getPool: address => ({
                    hasIdle: () => true,
                    hasBytesSince: () => true,
                    sendForCaller: (createRequest, listener) => {
                        const sent = simulatedProtocol.readSent(createRequest().headers);
                        const exchange = simulation.send(index, sent, listener);
                        const testPath: typeof exchange.testPath = onDone => {
                            // A connection breaks only if its engine has ended.
                            ends.noteRefusal(address, true, clock.getMonotonicTime());
                            exchange.testPath(onDone);
                        };
                        return { ...exchange, testPath };
                    },
                }),
            },
            directory: createDirectory(engines, this.readings, clock),
            loads,
            health,
            ends,
            refusalDetector: { check: () => Promise.resolve() },
            limits: EndpointLimits.create({
                log,
                random,
                chooseSharers: () => ({ count: 1, includesAllNodes: true, includesThisNode: true }),
            }),
            instructions: EndpointInstructions.create({ clock, log }),
            quarantine,
            retryBudget,
            streamRetries: StreamRetries.create({ budget: retryBudget, onNeed: () => undefined }),
            queue,
            firstEvents: FirstEventTimes.create(),
            retryDetector,
            linkDelays,
            linkTraffic: LinkTraffic.create(),
            answerTimes: AnswerTimes.create(),
            stop: NodeStop.create(),
            links: LinkAdmission.create({
                random,
                log,
                delays: linkDelays,
                getDemand: () => queue.getDemand(),
                getNodeCount: () => nodeCount,
            }),
            getNodeCount: () => nodeCount,
            getLiveNodeCount: () => nodeCount,
            getConditions: () => ({ configurationVersion: 1, configurationAgeMilliseconds: 0, lagMilliseconds: 0 }),
        };
        this.disableMechanisms(loads, retryDetector, queue);
    }

    /** Creates a node without requests. */
    static create(options: SimulatedNodeOptions): SimulatedNode {
        return new SimulatedNode(options);
    }

    /** Gets if the node gossips with more peers per round. */
    isBusy(): boolean {
        return !this.without.has(Mechanism.FastGossip) && this.environment.queue.isContended();
    }

    /** Exchanges state with a peer, in both directions. */
    exchangeWith(peer: SimulatedNode, now: number): void {
        this.sendStateTo(peer, now);
        peer.sendStateTo(this, now);
    }

    /** Reads the memory use of an engine, as the node that polls it. */
    readEngine({ endpoint: { id }, usedTokenLayers, totalTokenLayers, slowness }: SimulatedEngine): void {
        const { loads, clock } = this.environment;
        const hidden = usedTokenLayers - loads.getExpectedLoad(id).tokenLayers;
        this.readings.add({
            endpointId: id,
            factor: slowness,
            hiddenTokenLayers: hidden > minimumHiddenFraction * totalTokenLayers ? hidden : 0,
            age: 0,
        }, clock.getMonotonicTime());
    }

    private sendStateTo(peer: SimulatedNode, now: number): void {
        const { loads, health, quarantine, queue, links } = this.environment;
        const own = loads.getOwnLoads().map(load => ({ ...load }));
        peer.environment.loads.setPeerLoads(this.nodeId, own, queue.getDemand(), now);
        peer.environment.links.applyReports(this.nodeId, queue.getDemand(), links.createReports(now), now);
        peer.environment.queue.rankReserve.demands.setPeerDemands(
            this.nodeId,
            queue.rankReserve.demands.listOwn(now),
            now,
        );
        for (const reading of this.readings.getReadings(now)) {
            peer.readings.add(reading, now);
        }
        for (const suspicion of health.getSuspicions(now)) {
            peer.environment.health.applySuspicion(suspicion, now);
        }
        for (const crash of quarantine.getCrashes(now)) {
            peer.environment.quarantine.addPeerCrash(crash, now);
        }
    }

    private disableMechanisms(loads: EndpointLoads, retryDetector: RetryDetector, queue: RelayQueue): void {
        if (this.without.has(Mechanism.MemoryLimit)) {
            loads.getAvailableMemory = (endpointId, total) => total - loads.getExpectedLoad(endpointId).tokenLayers;
        }
        if (this.without.has(Mechanism.FullEndpoints)) {
            loads.markFull = (endpointId, now) => this.environment.health.markUnavailable(endpointId, now);
        }
        if (this.without.has(Mechanism.RankReserve)) {
            queue.rankReserve.getFraction = () => 0;
        }
        if (this.without.has(Mechanism.RankShares)) {
            queue.rankReserve.isHeld = () => false;
        }
        if (this.without.has(Mechanism.RetryDetection)) {
            retryDetector.observeRequest = () => false;
        }
        if (this.without.has(Mechanism.Timeliness)) {
            const { submit } = queue;
            queue.submit = relay => submit.call(queue, { ...relay, latestOnTimeStart: Infinity });
        }
    }
}

function createDirectory(
    engines: readonly SimulatedEngine[],
    readings: EndpointReadings,
    clock: Clock,
): RelayDirectory {
    const byId = new Map(engines.map(engine => [engine.endpoint.id, engine]));
    const byAddress = new Map(engines.map(({ endpoint }) => [endpoint.address, endpoint]));
    return {
        getEndpoints: () => engines.filter(({ isLeaving }) => !isLeaving).map(({ endpoint }) => endpoint),
        getEndpointAt: address => byAddress.get(address as EndpointAddress),
        getSlowness: id => byId.get(id)?.slowness ?? 1,
        getHiddenTokenLayers: id => readings.getHiddenTokenLayers(id, clock.getMonotonicTime()),
    };
}
