import { EndpointInstructions } from "../../connection/instructions/endpointInstructions.ts";
import { FramedServer } from "../../connection/peer/framed/framedServer.ts";
import { RetryBudget } from "../../request/admission/retryBudget.ts";
import { RetryDetector } from "../../request/admission/start/retryDetector.ts";
import type { AnswerSink } from "../../request/relay/answers/answerSink.ts";
import type { RelayRefusal } from "../../request/relay/answers/relayRefusal.ts";
import { RefusalDetector } from "../../request/relay/detection/refusalDetector.ts";
import { StallDetector } from "../../request/relay/detection/stallDetector.ts";
import { EndpointEnds } from "../../request/relay/endpoints/endpointEnds.ts";
import { EndpointHealth } from "../../request/relay/endpoints/endpointHealth.ts";
import { EndpointLoads } from "../../request/relay/endpoints/endpointLoads.ts";
import { FirstEventTimes } from "../../request/relay/endpoints/firstEventTimes.ts";
import type { RegisteredEndpoint } from "../../request/relay/endpoints/registeredEndpoint.ts";
import { EndpointLimits } from "../../request/relay/limits/endpointLimits.ts";
import { LinkAdmission } from "../../request/relay/links/linkAdmission.ts";
import { LinkDelays } from "../../request/relay/links/linkDelays.ts";
import { LinkTraffic } from "../../request/relay/links/linkTraffic.ts";
import type { CanaryOrder } from "../../request/relay/quarantine/canaryOrder.ts";
import { RequestQuarantine } from "../../request/relay/quarantine/requestQuarantine.ts";
import { RelayQueue } from "../../request/relay/queue/relayQueue.ts";
import type { RelayEnvironment } from "../../request/relay/relayEnvironment.ts";
import type { RoutedRequest } from "../../request/relay/routedRequest.ts";
import type { RoutedService } from "../../version/routing/routedService.ts";
import { RouterService } from "../../wire/generated/foxlead/router/v1/router_pb.ts";
import type { TimerHandle } from "../clock.ts";
import type { FencedLease } from "../leases/fencedLease.ts";
import { events } from "../logging/events.ts";
import { OwnersCache } from "../membership/ownersCache.ts";
import { LowestRankRefuser } from "../overload/lowestRankRefuser.ts";
import { OverloadProtection } from "../overload/overloadProtection.ts";
import { PlacementController } from "../placement/placementController.ts";
import { chooseLimitSharers } from "./chooseLimitSharers.ts";
import { createLoadStatus } from "./createLoadStatus.ts";
import { EndpointCalls } from "./endpointCalls.ts";
import { EndpointLinks } from "./endpointLinks.ts";
import { EndpointLosses } from "./endpointLosses.ts";
import { EndpointPoller } from "./endpointPoller.ts";
import { EndpointReadings } from "./endpointReadings.ts";
import { EndpointRegistry } from "./endpointRegistry.ts";
import { getRetryPolicy } from "./getRetryPolicy.ts";
import { LateCrashPart } from "./lateCrashPart.ts";
import { LinkLoadPart } from "./linkLoadPart.ts";
import { NodeTable } from "./nodeTable.ts";
import { PeerExchange } from "./peerExchange.ts";
import { PeerState } from "./peerState.ts";
import { QuarantinePersister } from "./quarantinePersister.ts";
import { RankDemandPart } from "./rankDemandPart.ts";
import { RefusalGate } from "./refusalGate.ts";
import { RequestRouter } from "./requestRouter.ts";
import type { RouterNodeOptions } from "./routerNodeOptions.ts";
import { RoutingHolder } from "./routingHolder.ts";
import { SlidingMaximum } from "./slidingMaximum.ts";
import { StoreReplica } from "./storeReplica.ts";
import type { StoreWatchController } from "./storeWatchController.ts";

const secondMilliseconds = 1_000;
/**
 * Initially assumed number of nodes. A node that has just started knows few others, and takes a small share of the limits for
 * all nodes together until it knows more.
 */
const initialNodeCount = 9;

/** A node that routes requests to endpoints registered in the platform's store. */
export class RouterNode {
    private readonly options: RouterNodeOptions;
    private readonly nodes: NodeTable;
    private readonly links: EndpointLinks;
    private readonly registry: EndpointRegistry;
    private readonly holder: RoutingHolder;
    private readonly storeWatch: StoreWatchController;
    private readonly exchange: PeerExchange;
    private readonly replica: StoreReplica;
    private readonly lease: FencedLease;
    private readonly placementController: PlacementController;
    private readonly router: RequestRouter;
    private readonly endpointPoller: EndpointPoller;
    private readonly stallDetector: StallDetector;
    private readonly queue: RelayQueue;
    private readonly loads: EndpointLoads;
    private readonly quarantinePersister: QuarantinePersister;
    private readonly health: EndpointHealth;
    private readonly losses: EndpointLosses;
    private readonly linkAdmission: LinkAdmission;
    private readonly limits: EndpointLimits;
    private readonly instructions: EndpointInstructions;
    private peerServer: FramedServer | undefined;
    private isDraining = false;
    private cleanupTimer: TimerHandle | undefined;
    private readonly maximumNodeCount: SlidingMaximum;
    private readonly overload: OverloadProtection;
    private readonly lowestRankRefuser: LowestRankRefuser;

    private constructor(options: RouterNodeOptions) {
        this.options = options;
        const { settings, clock, random, log, store, keys, metrics, protocol, nodeId } = options;
        const owners = OwnersCache.create(options.owners);
        this.health = EndpointHealth.create(random, endpointId => this.losses.addEvidence(endpointId));
        this.maximumNodeCount = SlidingMaximum.create(initialNodeCount, clock.getMonotonicTime());
        this.queue = RelayQueue.create({
            clock,
            random,
            log,
            onDecided: decision => metrics.startDecisionsTotal.inc({ decision }),
            onRankOutcome: (rank, outcome) => metrics.rankRequestsTotal.inc({ rank, outcome }),
            onAdmittedShare: (rank, share) => metrics.rankAdmittedShare.set({ rank }, share),
            onWaited: (milliseconds, expectedMilliseconds) => {
                metrics.startWaitSeconds.observe(milliseconds / secondMilliseconds);
                metrics.startWaitExcessSeconds.observe((milliseconds - expectedMilliseconds) / secondMilliseconds);
            },
        });
        this.loads = EndpointLoads.create(() => this.queue.wake());
        const { queue, loads } = this;
        this.limits = EndpointLimits.create({
            log,
            random,
            chooseSharers: (endpoint, maximumSharers) => {
                const self = { nodeId, dataCentre: settings.dataCentre };
                const nodes = [self, ...this.nodes.getLiveNodes(clock.getMonotonicTime())];
                return chooseLimitSharers({ endpoint, maximumSharers, nodeId, nodes, owners: options.owners });
            },
            onSignificantChange: () => {
                queue.wake();
                this.exchange.propagateUpdate();
            },
        });
        this.instructions = EndpointInstructions.create({
            clock,
            log,
            onLeaving: endpointId => {
                metrics.endpointInstructionsTotal.inc({ instruction: "leaving" });
                this.handleEndpointLeaving(endpointId);
            },
            onPause: () => {
                metrics.endpointInstructionsTotal.inc({ instruction: "pause" });
                queue.refuseUnservable();
            },
        });
        const { instructions } = this;
        const readings = EndpointReadings.create();
        const quarantine = RequestQuarantine.create({
            log,
            getAliveTime: endpointId => this.health.getLastAliveTime(endpointId),
            getCanaryOrder: key => this.getCanaryOrder(key),
            onCleared: () => this.exchange.propagateUpdate(),
            onCrash: isHeldBack => {
                metrics.endpointEndsTotal.inc({ outcome: isHeldBack ? "heldBack" : "suspected" });
                // The caller may send the request again to any other node a moment later.
                this.exchange.propagateUpdate();
                if (isHeldBack) {
                    this.quarantinePersister.save();
                }
            },
        });
        this.quarantinePersister = QuarantinePersister.create({ store, key: keys.quarantine, quarantine, clock, log });
        this.nodes = NodeTable.create(nodeId);
        this.lowestRankRefuser = LowestRankRefuser.create(random);
        this.overload = OverloadProtection.create({
            nodeId,
            dataCentre: settings.dataCentre,
            clock,
            getLag: () => clock.getLag(),
            getNodes: () => this.nodes.getLiveNodes(clock.getMonotonicTime()),
            owners,
            log,
            metrics,
        });
        const ends = EndpointEnds.create();
        this.links = EndpointLinks.create({
            ...options,
            tunnelListener: settings.tunnelListener,
            nodes: this.nodes,
            getRegistry: () => this.registry,
            onLinksChanged: () => this.exchange.propagateUpdate(),
            onRefused: address => ends.noteRefusal(address, this.isReadyAt(address), clock.getMonotonicTime()),
        });
        this.losses = EndpointLosses.create({
            clock,
            log,
            nodes: this.nodes,
            getAliveTime: endpointId => this.health.getLastAliveTime(endpointId),
            getUnreachableFraction: () => this.links.getUnreachableFraction(),
            onChange: lostCount => {
                metrics.lostEndpoints.set(lostCount);
                this.placementController.wake();
            },
            onEvidence: () => this.exchange.propagateUpdate(),
        });
        const { pools } = this.links;
        this.holder = RoutingHolder.create({
            clock,
            decode: text => clock.run("configuration", () => options.decodeConfiguration(text)),
            log,
            metrics,
        });
        this.registry = EndpointRegistry.create({
            clock,
            log,
            readings,
            decode: options.decodeEndpoint,
            drainMilliseconds: settings.drainMilliseconds,
            isLeaving: endpointId => instructions.isLeaving(endpointId),
            getLastStoreFailure: () => this.storeWatch.getLastFailure(),
            onChange: () => {
                this.scheduleCleanup();
                this.placementController.wake();
            },
            onRecord: endpoint => ends.noteStart(endpoint, clock.getMonotonicTime()),
            onRestart: (earlier, later) => {
                instructions.handleRestart(earlier.id, later);
                quarantine.noteRestart(earlier.id);
                this.stallDetector.handleEndpointRestart(earlier);
            },
        });
        this.replica = StoreReplica.create({
            node: options,
            nodes: this.nodes,
            owners,
            configurations: this.holder,
            endpoints: this.registry,
            isDraining: () => this.isDraining,
            getLeaseAction: rank => this.placementController.getLeaseAction(rank),
            wakePlacement: () => this.placementController.wake(),
            propagateUpdate: () => this.exchange.propagateUpdate(),
            announceMissedChanges: () => this.exchange.announceMissedChanges(),
        });
        const { lease, watch: storeWatch, proof, sections } = this.replica;
        this.lease = lease;
        this.storeWatch = storeWatch;
        const linkDelays = LinkDelays.create();
        this.linkAdmission = LinkAdmission.create({
            random,
            log,
            delays: linkDelays,
            getDemand: () => queue.getDemand(),
            getNodeCount: () => this.getNodeCount(),
            onClosed: (link, isClosed) => metrics.linkClosed.set({ ...link }, isClosed ? 1 : 0),
        });
        const links = this.linkAdmission;
        this.exchange = PeerExchange.create({
            nodeId,
            address: settings.peerListener,
            dataCentre: settings.dataCentre,
            links: this.links,
            storeWatch,
            proof,
            lease,
            seeds: settings.seeds,
            nodes: this.nodes,
            owners,
            sections,
            state: PeerState.create({
                loads,
                health: this.health,
                quarantine,
                limits: this.limits,
                readings,
                parts: [
                    this.losses,
                    LinkLoadPart.create(links, metrics),
                    RankDemandPart.create(queue.rankReserve.demands),
                    LateCrashPart.create(quarantine.lateCrashes),
                ],
                getDemand: () => queue.getDemand(),
                onUpdate: () => this.exchange.propagateUpdate(),
            }),
            isBusy: () => queue.isContended(),
            overload: this.overload,
            isReady: () => this.isReady(),
            clock,
            random,
            log,
        });
        const calls = EndpointCalls.create({
            protocol,
            pools,
            clock,
            metrics,
            log,
            onInstructions: (endpoint, instructed, call) => {
                this.losses.addResponse(endpoint.id);
                instructions.noteAnswer({ endpointId: endpoint.id, instructions: instructed, answerTo: call });
            },
            onIncarnation: (endpoint, incarnation) => this.registry.handleIncarnation(endpoint, incarnation),
        });
        const environment: RelayEnvironment = {
            dataCentre: settings.dataCentre,
            clock,
            random,
            log,
            protocol,
            pools,
            directory: this.registry,
            loads,
            health: this.health,
            ends,
            refusalDetector: RefusalDetector.create({
                health: this.health,
                clock,
                log,
                fetchReport: endpoint => calls.fetchReport(endpoint),
                onFound: () => this.exchange.propagateUpdate(),
            }),
            limits: this.limits,
            instructions,
            quarantine,
            queue,
            firstEvents: FirstEventTimes.create(),
            retryDetector: RetryDetector.create(),
            linkDelays,
            linkTraffic: LinkTraffic.create(),
            links,
            getNodeCount: () => this.getNodeCount(),
            getLiveNodeCount: () => this.getLiveNodeCount(),
            getConditions: () => ({
                configurationVersion: this.holder.getState()?.configuration.version ?? 0,
                configurationAgeMilliseconds: this.holder.getAge(),
                lagMilliseconds: Math.round(clock.getLag()),
            }),
            retryBudget: RetryBudget.create(
                clock.getMonotonicTime(),
                () => getRetryPolicy(settings, this.getNodeCount()),
            ),
        };
        this.placementController = PlacementController.create({
            store,
            lease: this.lease,
            isStoreLost: () => this.storeWatch.isStoreLost(),
            isCandidate: () => this.storeWatch.isStoreWatcher() && !this.isDraining,
            clock,
            runLong: (name, action) => clock.run(name, action),
            log,
            keyPrefix: keys.placementPrefix,
            getModelServices: () => this.getModelServices(),
            getEndpoints: service => this.listEndpoints(service, false),
            getLostEndpoints: service => this.listEndpoints(service, true),
            sendOrder: (endpoint, order) => calls.sendLayerOrder(endpoint, order),
            fetchReport: endpoint => calls.fetchReport(endpoint),
            onWork: () => this.storeWatch.reviewLease(),
            onFirstOrder: milliseconds => {
                metrics.placementFirstOrderSeconds.observe(milliseconds / secondMilliseconds);
            },
        });
        this.endpointPoller = EndpointPoller.create({
            nodeId,
            clock,
            readings,
            getExpectedTokenLayers: endpointId => loads.getLoad(endpointId).tokenLayers,
            getNodeIds: () => this.nodes.getLiveNodes(clock.getMonotonicTime()).map(node => node.nodeId),
            getIntervalFactor: () => this.overload.getPollIntervalFactor(),
            getEndpoints: () => this.listPolledEndpoints(),
            fetchReport: endpoint => calls.fetchReport(endpoint),
        });
        this.stallDetector = StallDetector.create({
            environment,
            clock,
            fetchReport: endpoint => calls.fetchReport(endpoint),
            reroute: (requestId, stages) => calls.sendReroute(requestId, stages),
            isRefusing: endpoint => calls.isRefusing(endpoint),
        });
        this.router = RequestRouter.create({
            environment,
            holder: this.holder,
            stallDetector: this.stallDetector,
            metrics,
            loop: clock,
            refusalGate: RefusalGate.create({
                clock,
                isCopyCurrent: () => this.replica.isConfigurationCurrent(),
                isWithoutStore: () => storeWatch.isWithoutStore(),
                confirmCopy: () => storeWatch.confirmCopy(),
            }),
            getCopy: () => this.replica.getState(),
        });
    }

    /** Creates a node, which does nothing before {@link start}. */
    static create(options: RouterNodeOptions): RouterNode {
        return new RouterNode(options);
    }

    /** Listens for peers, watches the store and tries to acquire the placement lease. */
    async start(): Promise<void> {
        const { settings, log, nodeId } = this.options;
        this.peerServer = await FramedServer.create({
            address: settings.peerListener,
            service: RouterService,
            handlers: {
                exchange: request => this.exchange.handleExchange(request),
                fetch: request => this.exchange.handleFetch(request),
            },
        });
        await this.links.start();
        this.storeWatch.start();
        this.quarantinePersister.start();
        this.exchange.start();
        this.placementController.start();
        this.endpointPoller.start();
        log.write(events.nodeStarted, { nodeId, version: this.options.version });
    }

    /** Routes a request. Its caller gets exactly one answer. */
    handle(request: RoutedRequest, sink: AnswerSink): void {
        this.router.handle(request, sink);
    }

    /**
     * Refuses a request before its body is read if this node is too late to serve it.
     * @returns The refusal, or undefined if the request is to be handled as usual.
     */
    refuseEarly(head: Pick<RoutedRequest, "id" | "host" | "target" | "apiKey">): RelayRefusal | undefined {
        const recoveryMilliseconds = this.overload.getRefusalMilliseconds();
        const state = this.holder.getState();
        if (recoveryMilliseconds === 0 || state === undefined) {
            return undefined;
        }
        const refusal = this.lowestRankRefuser.decide(head, state, recoveryMilliseconds);
        if (refusal !== undefined) {
            const { log, metrics } = this.options;
            const { reason } = refusal;
            const { version: configurationVersion } = state.configuration;
            log.write(events.relayRefused, { request: head.id, reason, configurationVersion });
            metrics.refusalsTotal.inc({ reason });
        }
        return refusal;
    }

    /** Gets how new connections of callers are watched. */
    getNewConnectionOptions() {
        return {
            canPeersTakeConnections: () => this.overload.canPeersTakeConnections(),
            onQueueEnd: (queueMilliseconds: number, closed: number) =>
                this.overload.noteQueueEnd(queueMilliseconds, closed),
        };
    }

    /** Checks if the load balancer should send callers to this node. */
    isReady(): boolean {
        return !this.isDraining && !this.overload.isOutOfRotation() && this.holder.getState() !== undefined;
    }

    /** Gets the configuration in force; undefined if there is none yet. */
    getRouting() {
        return this.holder.getState();
    }

    /** Gets the status of this node for operators. */
    getStatus(): object {
        const now = this.options.clock.getMonotonicTime();
        return {
            node: this.options.nodeId,
            configurationVersion: this.holder.getState()?.configuration.version,
            isReady: this.isReady(),
            hasPlacementDuty: this.lease.isHeld(),
            peers: this.nodes.getLiveNodes(now),
            endpoints: this.registry.getAll(),
            endpointInstructions: this.instructions.getStatus(),
            storeEra: this.options.store.getEra(),
            storeCopyAgeMilliseconds: this.replica.getState().copyAgeMilliseconds,
            load: this.createLoadStatus(now),
        };
    }

    /** Handles that the store was restored from an older snapshot, and may have lost what it had acknowledged. */
    handleStoreRestored(): void {
        this.lease.handleStoreRestored();
        this.storeWatch.handleStoreRestored();
        this.quarantinePersister.handleStoreRestored();
        this.placementController.handleStoreRestored();
    }

    /** Reports this node as not ready to the load balancer, and gives up its duties. */
    async startDraining(): Promise<void> {
        this.isDraining = true;
        this.options.log.write(events.nodeDraining, {});
        this.placementController.stop();
        this.endpointPoller.stop();
        this.links.startDraining();
        this.exchange.propagateUpdate();
        await this.lease.stop();
    }

    /** Waits until peers use no connections to endpoints through this node any more. */
    waitUntilUnused(): Promise<void> {
        return this.links.waitUntilUnused();
    }

    /** Refuses the requests that wait for free memory, since they can't start before this node ends. Returns their number. */
    refuseWaiting(): number {
        return this.queue.refuseAll();
    }

    /** Stops the remaining parts and closes the connections. */
    async stop(): Promise<void> {
        this.storeWatch.stop();
        this.quarantinePersister.stop();
        this.exchange.stop();
        await this.links.close();
        await this.peerServer?.close();
    }

    private createLoadStatus(now: number): object {
        const { queue: { rankReserve, refusals }, linkAdmission, losses, storeWatch, lease, overload } = this;
        const nodeCount = this.getLiveNodeCount();
        return createLoadStatus(
            { rankReserve, refusals, linkAdmission, losses, storeWatch, lease, overload, nodeCount },
            now,
        );
    }

    /** Gets the place of this node among the live nodes, in an order that all of them have for the same part of prompts. */
    private getCanaryOrder(key: string): CanaryOrder {
        const { options: { nodeId, owners, clock } } = this;
        const nodeIds = [nodeId, ...this.nodes.getLiveNodes(clock.getMonotonicTime()).map(node => node.nodeId)];
        return { rank: owners.getOwners(key, nodeIds, nodeIds.length).indexOf(nodeId), nodes: nodeIds.length };
    }

    private getModelServices(): RoutedService[] {
        const services = this.holder.getState()?.configuration.services.values() ?? [];
        return [...services].filter(({ engine }) => engine !== undefined);
    }

    /** Lists the endpoints of a service that are lost by the evidence of nodes, or those that aren't. */
    private listEndpoints(service: string, areLost: boolean): RegisteredEndpoint[] {
        const endpoints = this.registry.getEndpoints(service);
        const lost = this.losses.getLostEndpoints(endpoints.map(({ id }) => id));
        return endpoints.filter(({ id }) => lost.has(id) === areLost);
    }

    /** Checks if the endpoint at an address is registered and not leaving. */
    private isReadyAt(address: string): boolean {
        const endpoint = this.registry.getEndpointAt(address);
        return endpoint !== undefined && !endpoint.isDraining && !this.instructions.isLeaving(endpoint.id);
    }

    /** Lists the endpoints of models, except those that want no requests from this node at the moment. */
    private listPolledEndpoints(): RegisteredEndpoint[] {
        const endpoints = this.getModelServices().flatMap(({ name }) => this.registry.getEndpoints(name));
        return endpoints.filter(({ id }) => this.instructions.maySend(id));
    }

    /** Stops sending to an endpoint that has announced that it is leaving, and informs the peers. */
    private handleEndpointLeaving(endpointId: string): void {
        this.registry.handleLeaving();
        this.health.addRefusal(endpointId, this.options.clock.getMonotonicTime());
        this.queue.refuseUnservable();
        this.exchange.propagateUpdate();
    }

    /** Schedules one cleanup of endpoint state after all changes of a listing, which has a change for each endpoint. */
    private scheduleCleanup(): void {
        this.queue.noteCapacityChange();
        this.cleanupTimer ??= this.options.clock.setTimer(0, () => this.removeStaleEndpointState());
    }

    private removeStaleEndpointState(): void {
        this.cleanupTimer = undefined;
        const endpoints = this.registry.getAll();
        const ids = new Set(endpoints.map(({ id }) => id));
        this.health.retain(ids);
        this.loads.retain(ids);
        this.limits.retain(ids);
        this.losses.retain(ids);
        this.instructions.retain(ids);
        this.links.retain(new Set(endpoints.map(({ address }) => address)));
        this.queue.wake();
    }

    /** Gets the highest number of nodes of the last seconds, so that limits for all nodes together also hold while nodes restart. */
    private getNodeCount(): number {
        return this.maximumNodeCount.add(this.getLiveNodeCount(), this.options.clock.getMonotonicTime());
    }

    private getLiveNodeCount(): number {
        return 1 + this.nodes.getLiveNodes(this.options.clock.getMonotonicTime()).length;
    }
}
