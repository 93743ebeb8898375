import { StallDetector } from "../../request/relay/detection/stallDetector.ts";
import type { RelayQueue } from "../../request/relay/queue/relayQueue.ts";
import type { RelayEnvironment } from "../../request/relay/relayEnvironment.ts";
import type { FencedLease } from "../leases/fencedLease.ts";
import { OwnersCache } from "../membership/ownersCache.ts";
import { OverloadProtection } from "../overload/overloadProtection.ts";
import { PlacementController } from "../placement/placementController.ts";
import { createRelayEnvironment } from "./createRelayEnvironment.ts";
import { createRelayQueue } from "./createRelayQueue.ts";
import { EarlyRefuser } from "./earlyRefuser.ts";
import { EndpointCalls } from "./endpointCalls.ts";
import { EndpointPoller } from "./endpointPoller.ts";
import { LateCrashPart } from "./lateCrashPart.ts";
import { LinkLoadPart } from "./linkLoadPart.ts";
import { LiveNodes } from "./liveNodes.ts";
import { ModelEndpoints } from "./modelEndpoints.ts";
import { NodeQuarantine } from "./nodeQuarantine.ts";
import { PeerExchange } from "./peerExchange.ts";
import { PeerState } from "./peerState.ts";
import { RankDemandPart } from "./rankDemandPart.ts";
import { RefusalGate } from "./refusalGate.ts";
import { RequestRouter } from "./requestRouter.ts";
import { RetryTransfer } from "./retryTransfer.ts";
import { RouterEndpoints } from "./routerEndpoints.ts";
import type { RouterNodeOptions } from "./routerNodeOptions.ts";
import { RoutingHolder } from "./routingHolder.ts";
import { StoreReplica } from "./storeReplica.ts";
import type { StoreWatchController } from "./storeWatchController.ts";

/** Options of {@link RouterParts}. */
interface RouterPartsOptions {
    node: RouterNodeOptions;
    /** Whether the node is giving up its duties. */
    isDraining(): boolean;
    /** Whether the load balancer should send callers to the node. */
    isReady(): boolean;
}

const secondMilliseconds = 1_000;

/**
 * The parts of a router node, each connected to those that it needs. Some need each other, so a part reaches one that is created
 * later through a callback.
 */
export class RouterParts {
    readonly liveNodes: LiveNodes;
    readonly overload: OverloadProtection;
    readonly queue: RelayQueue;
    readonly endpoints: RouterEndpoints;
    readonly quarantine: NodeQuarantine;
    readonly routing: RoutingHolder;
    readonly replica: StoreReplica;
    readonly lease: FencedLease;
    readonly storeWatch: StoreWatchController;
    readonly environment: RelayEnvironment;
    readonly exchange: PeerExchange;
    readonly placementController: PlacementController;
    readonly endpointPoller: EndpointPoller;
    readonly router: RequestRouter;
    readonly earlyRefuser: EarlyRefuser;
    private readonly options: RouterPartsOptions;
    private readonly owners: OwnersCache;
    private readonly calls: EndpointCalls;
    private readonly modelEndpoints: ModelEndpoints;
    private readonly stallDetector: StallDetector;

    private constructor(options: RouterPartsOptions) {
        this.options = options;
        const { node } = options;
        this.owners = OwnersCache.create(node.owners);
        this.liveNodes = LiveNodes.create(node);
        this.queue = createRelayQueue(node);
        this.endpoints = this.createEndpoints();
        this.quarantine = NodeQuarantine.create({
            node,
            liveNodes: this.liveNodes,
            getAliveTime: endpointId => this.endpoints.health.getLastAliveTime(endpointId),
            propagateUpdate: () => this.exchange.propagateUpdate(),
        });
        this.overload = this.createOverloadProtection();
        this.routing = this.createRouting();
        this.replica = this.createReplica();
        this.lease = this.replica.lease;
        this.storeWatch = this.replica.watch;
        this.calls = this.createCalls();
        this.environment = createRelayEnvironment({
            node,
            liveNodes: this.liveNodes,
            routing: this.routing,
            endpoints: this.endpoints,
            calls: this.calls,
            quarantine: this.quarantine.requests,
            queue: this.queue,
            propagateUpdate: () => this.exchange.propagateUpdate(),
            askForRetries: () => this.exchange.askForRetries(),
        });
        this.exchange = this.createExchange();
        const { registry, losses, instructions } = this.endpoints;
        this.modelEndpoints = ModelEndpoints.create({ routing: this.routing, registry, losses, instructions });
        this.placementController = this.createPlacementController();
        this.endpointPoller = this.createEndpointPoller();
        this.stallDetector = this.createStallDetector();
        this.router = this.createRouter();
        this.earlyRefuser = EarlyRefuser.create({
            node,
            overload: this.overload,
            routing: this.routing,
            isCopyCurrent: () => this.replica.isConfigurationCurrent(),
        });
    }

    /** Creates the parts, of which none does anything before it is started. */
    static create(options: RouterPartsOptions): RouterParts {
        return new RouterParts(options);
    }

    private createEndpoints(): RouterEndpoints {
        return RouterEndpoints.create({
            node: this.options.node,
            liveNodes: this.liveNodes,
            queue: this.queue,
            getServices: () => this.routing.getState()?.configuration.services,
            getLastStoreFailure: () => this.storeWatch.getLastFailure(),
            propagateUpdate: () => this.exchange.propagateUpdate(),
            wakePlacement: () => this.placementController.wake(),
            onRestart: earlier => {
                this.quarantine.requests.noteRestart(earlier.id, this.options.node.clock.getMonotonicTime());
                this.stallDetector.handleEndpointRestart(earlier);
            },
            onDown: (endpointId, now) => this.quarantine.requests.noteDown(endpointId, now),
        });
    }

    private createOverloadProtection(): OverloadProtection {
        const { nodeId, settings, clock, log, metrics } = this.options.node;
        return OverloadProtection.create({
            nodeId,
            dataCentre: settings.dataCentre,
            clock,
            getLag: () => clock.getLag(),
            getNodes: () => this.liveNodes.getOthers(),
            owners: this.owners,
            log,
            metrics,
        });
    }

    private createRouting(): RoutingHolder {
        const { clock, log, metrics, decodeConfiguration } = this.options.node;
        return RoutingHolder.create({
            clock,
            decode: text => clock.run("configuration", () => decodeConfiguration(text)),
            log,
            metrics,
        });
    }

    private createReplica(): StoreReplica {
        return StoreReplica.create({
            node: this.options.node,
            nodes: this.liveNodes.table,
            owners: this.owners,
            configurations: this.routing,
            endpoints: this.endpoints.registry,
            isDraining: () => this.options.isDraining(),
            getLeaseAction: rank => this.placementController.getLeaseAction(rank),
            wakePlacement: () => this.placementController.wake(),
            propagateUpdate: () => this.exchange.propagateUpdate(),
            announceMissedChanges: () => this.exchange.announceMissedChanges(),
        });
    }

    private createCalls(): EndpointCalls {
        const { protocol, clock, metrics, log } = this.options.node;
        const { links: { pools }, losses, instructions, registry } = this.endpoints;
        return EndpointCalls.create({
            protocol,
            pools,
            clock,
            metrics,
            log,
            onInstructions: (endpoint, instructed, call) => {
                losses.addResponse(endpoint.id);
                instructions.noteAnswer({ endpointId: endpoint.id, instructions: instructed, answerTo: call });
            },
            onIncarnation: (endpoint, incarnation) => registry.handleIncarnation(endpoint, incarnation),
        });
    }

    private createExchange(): PeerExchange {
        const { nodeId, settings, clock, random, log } = this.options.node;
        const { replica: { proof, sections }, queue } = this;
        return PeerExchange.create({
            nodeId,
            address: settings.peerListener,
            dataCentre: settings.dataCentre,
            links: this.endpoints.links,
            storeWatch: this.storeWatch,
            proof,
            lease: this.lease,
            seeds: settings.seeds,
            nodes: this.liveNodes.table,
            owners: this.owners,
            sections,
            state: this.createPeerState(),
            retries: this.createRetryTransfer(),
            isBusy: () => queue.isContended(),
            overload: this.overload,
            isReady: () => this.options.isReady(),
            clock,
            random,
            log,
        });
    }

    private createPeerState(): PeerState {
        const { endpoints: { loads, health, limits, readings, losses }, quarantine: { requests: quarantine }, queue } =
            this;
        return PeerState.create({
            loads,
            health,
            quarantine,
            limits,
            readings,
            parts: [
                losses,
                LinkLoadPart.create(this.environment.links, this.options.node.metrics),
                RankDemandPart.create(queue.rankReserve.demands),
                LateCrashPart.create(quarantine.lateCrashes),
            ],
            getDemand: () => queue.getDemand(),
            onUpdate: () => this.exchange.propagateUpdate(),
        });
    }

    private createRetryTransfer(): RetryTransfer {
        const { retryBudget: budget, streamRetries: streams, log } = this.environment;
        return RetryTransfer.create({ budget, streams, log });
    }

    private createPlacementController(): PlacementController {
        const { options: { node, isDraining }, storeWatch, modelEndpoints, calls } = this;
        const { store, clock, log, keys, metrics } = node;
        return PlacementController.create({
            store,
            lease: this.lease,
            isStoreLost: () => storeWatch.isStoreLost(),
            isCandidate: () => storeWatch.isStoreWatcher() && !isDraining(),
            clock,
            runLong: (name, action) => clock.run(name, action),
            log,
            keyPrefix: keys.placementPrefix,
            getModelServices: () => modelEndpoints.listServices(),
            getEndpoints: service => modelEndpoints.listPresent(service),
            getLostEndpoints: service => modelEndpoints.listLost(service),
            sendOrder: (endpoint, order) => calls.sendLayerOrder(endpoint, order),
            fetchReport: endpoint => calls.fetchReport(endpoint),
            onWork: () => storeWatch.reviewLease(),
            onFirstOrder: milliseconds => {
                metrics.placementFirstOrderSeconds.observe(milliseconds / secondMilliseconds);
            },
        });
    }

    private createEndpointPoller(): EndpointPoller {
        const { nodeId, clock } = this.options.node;
        const { readings, loads } = this.endpoints;
        return EndpointPoller.create({
            nodeId,
            clock,
            readings,
            getExpectedTokenLayers: endpointId => loads.getExpectedLoad(endpointId).tokenLayers,
            getNodeIds: () => this.liveNodes.getOtherIds(),
            getIntervalFactor: () => this.overload.getPollIntervalFactor(),
            getEndpoints: () => this.modelEndpoints.listPolled(),
            fetchReport: endpoint => this.calls.fetchReport(endpoint),
        });
    }

    private createStallDetector(): StallDetector {
        const { options: { node: { clock } }, environment, calls } = this;
        return StallDetector.create({
            environment,
            clock,
            fetchReport: endpoint => calls.fetchReport(endpoint),
            reroute: (requestId, stages) => calls.sendReroute(requestId, stages),
            isRefusing: endpoint => calls.isRefusing(endpoint),
        });
    }

    private createRouter(): RequestRouter {
        const { options: { node: { clock, metrics } }, environment, routing, stallDetector, storeWatch, replica } =
            this;
        return RequestRouter.create({
            environment,
            routing,
            stallDetector,
            metrics,
            loop: clock,
            refusalGate: RefusalGate.create({
                clock,
                isCopyCurrent: () => replica.isConfigurationCurrent(),
                isWithoutStore: () => storeWatch.isWithoutStore(),
                confirmCopy: () => storeWatch.confirmCopy(),
            }),
            getCopy: () => replica.getState(),
        });
    }
}
