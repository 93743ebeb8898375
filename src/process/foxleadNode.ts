import { CallerServer } from "../connection/caller/callerServer.ts";
import { PeerConnections } from "../connection/peer/peerConnections.ts";
import { PeerServer } from "../connection/peer/peerServer.ts";
import { PeerTunnels } from "../connection/peer/tunnel/peerTunnels.ts";
import type { CreateSocket } from "../connection/upstream/path/createSocket.ts";
import { createTcpSocket } from "../connection/upstream/path/createTcpSocket.ts";
import { RetryBudget } from "../request/admission/retryBudget.ts";
import { EstimatedTimeChooser } from "../request/chain/estimatedTimeChooser.ts";
import type { ConfigurationVersion } from "../version/configurationVersion.ts";
import { AdminServer } from "./admin/adminServer.ts";
import type { NodeStatus } from "./admin/nodeStatus.ts";
import { AdmissionService } from "./admissionService.ts";
import { ShardHash } from "./claims/shardHash.ts";
import { ClaimService } from "./claimService.ts";
import type { Clock } from "./clock.ts";
import { ConfigurationService } from "./configurationService.ts";
import { createNodeStatus } from "./createNodeStatus.ts";
import { createOrderDispatcher } from "./createOrderDispatcher.ts";
import { createPeerHandlers } from "./createPeerHandlers.ts";
import { EndpointAccess } from "./endpointAccess.ts";
import { EndpointService } from "./endpointService.ts";
import type { EventLog } from "./logging/eventLog.ts";
import { events } from "./logging/events.ts";
import { getIntervalFactor } from "./membership/getIntervalFactor.ts";
import { maximumFullRateNodes } from "./membership/maximumFullRateNodes.ts";
import { MembershipView } from "./membership/membershipView.ts";
import { RendezvousOwners } from "./membership/rendezvousOwners.ts";
import { MembershipService } from "./membershipService.ts";
import { Metrics } from "./metrics/metrics.ts";
import { NodeLifecycle } from "./nodeLifecycle.ts";
import { NodeStatistics } from "./nodeStatistics.ts";
import type { OrderDispatcher } from "./orders/orderDispatcher.ts";
import { PlatformAccess } from "./platformAccess.ts";
import type { RandomSource } from "./randomSource.ts";
import type { NodeSettings } from "./settings/nodeSettings.ts";
import { Tracing } from "./tracing/tracing.ts";

/** Options of a {@link FoxleadNode}. */
interface FoxleadNodeOptions {
    settings: NodeSettings;
    log: EventLog;
    clock: Clock;
    random: RandomSource;
    /** Creates the sockets of direct connections to endpoints. Default: TCP sockets. */
    createSocket?: CreateSocket;
}

/** Services whose hash functions are loaded asynchronously. */
interface Hashes {
    owners: RendezvousOwners;
    shardHash: ShardHash;
}

/** Estimated size of one customer's demand record on the wire. */
const demandRecordBytes = 30;
const peerTimeoutMilliseconds = 1_000;

/** A Foxlead node: creates all services of the process, connects them, and starts and stops them. */
export class FoxleadNode {
    private readonly options: FoxleadNodeOptions;
    private readonly metrics = Metrics.create();
    private readonly tracing: Tracing;
    private readonly platform: PlatformAccess;
    private readonly view: MembershipView;
    private readonly peers: PeerConnections;
    private readonly configurations: ConfigurationService;
    private readonly tunnels: PeerTunnels;
    private readonly access: EndpointAccess;
    private readonly endpoints: EndpointService;
    private readonly chooser: EstimatedTimeChooser;
    private readonly claims: ClaimService;
    private readonly admissions: AdmissionService;
    private readonly orders: OrderDispatcher;
    private readonly statistics: NodeStatistics;
    private readonly membership: MembershipService;
    private readonly lifecycle: NodeLifecycle;
    private readonly callers: CallerServer;
    private readonly admin: AdminServer;
    private peerServer: PeerServer | undefined;

    private constructor(options: FoxleadNodeOptions, hashes: Hashes) {
        const { settings, log, clock, random } = options;
        const { owners, shardHash } = hashes;
        const { metrics } = this;
        const nodeId = settings.vm;
        this.options = options;
        this.tracing = Tracing.create({ ...settings.tracing, vm: nodeId });
        this.platform = PlatformAccess.create(settings.platform, metrics);
        this.view = MembershipView.create({
            nodeId,
            peerAddress: settings.peerListener,
            dataCentre: settings.dataCentre,
            incarnation: Math.floor(clock.getWallTime()),
        });
        this.peers = this.createPeerConnections();
        this.tunnels = PeerTunnels.create({ secret: settings.peerSecret, tls: settings.tls.peers });
        const { view, peers, tracing } = this;
        const { store } = this.platform;
        this.configurations = ConfigurationService.create({
            store,
            clock,
            random,
            log,
            getIntervalFactor: () => getIntervalFactor(view),
            onAccepted: version => this.applyVersion(version),
        });
        const getConfiguration = () => this.configurations.getConfiguration();
        const getChooser = () => this.chooser;
        this.access = this.createEndpointAccess();
        const { connector } = this.access;
        const observed = { nodeId, clock, random, log, metrics, connector, view, owners };
        this.endpoints = EndpointService.create({ ...observed, getChooser });
        const { directory } = this.endpoints;
        const getEndpointState = (endpoint: string) => directory.getState(endpoint);
        this.chooser = EstimatedTimeChooser.create({
            getConfiguration,
            getEndpointState: endpoint => directory.getStateForRequests(endpoint),
            clock,
            random,
        });
        this.claims = ClaimService.create({ nodeId, store, clock, log, view, owners, peers, shardHash, tracing });
        this.admissions = AdmissionService.create({ clock, random, view, getConfiguration, getEndpointState });
        const common = { nodeId, store, clock, random, log, view, owners, directory };
        this.orders = createOrderDispatcher({ ...common, getConfiguration });
        this.statistics = this.createStatistics();
        this.membership = this.createMembership(owners);
        this.lifecycle = this.createLifecycle();
        this.callers = this.createCallerServer();
        this.admin = AdminServer.create({
            listener: settings.adminListener,
            metrics,
            isReady: () => this.lifecycle.getReadiness(),
            isHealthy: () => true,
            getStatus: () => this.getStatus(),
        });
    }

    /** Creates a node. It does not listen before {@link FoxleadNode.start}. */
    static async create(options: FoxleadNodeOptions): Promise<FoxleadNode> {
        const owners = await RendezvousOwners.create();
        const shardHash = await ShardHash.create();
        return new FoxleadNode(options, { owners, shardHash });
    }

    /**
     * Starts the listeners and all services.
     * @throws Error if a listener cannot be started.
     */
    async start(): Promise<void> {
        const { settings, log } = this.options;
        const { gossiper, distributor } = this.membership;
        this.peerServer = await PeerServer.create({
            address: settings.peerListener,
            secret: settings.peerSecret,
            tls: settings.tls.peers,
            log,
            handlers: createPeerHandlers({ gossiper, distributor, claims: this.claims }),
            tunnels: this.access.getTunnelOptions(),
        });
        const admin = await this.admin.listen();
        if (!admin.ok) {
            throw new Error(admin.val.message);
        }
        await this.callers.listen();
        this.configurations.watcher.start();
        this.membership.start();
        this.endpoints.start();
        this.admissions.capacities.start();
        this.statistics.start();
        this.orders.start();
        log.write(events.nodeStarted, { caller: settings.callerListener, peer: settings.peerListener });
    }

    /**
     * Shuts down gracefully: refuses new requests, announces the departure so that duties move to other nodes, and waits
     * for the requests in flight.
     * @param deadline - Resolves when the remaining requests are to be aborted. Each gets the answer that matches its state.
     */
    async stop(deadline: Promise<void>): Promise<void> {
        const { log } = this.options;
        this.lifecycle.startDraining();
        this.access.startDraining();
        this.admissions.admission.startDraining();
        log.write(events.nodeDraining, { requests: this.callers.getRequestsInProgress() });
        void this.membership.announceLeaving();
        const ordersStopped = this.orders.stop();
        const idle = this.callers.waitUntilIdle();
        const isIdle = await Promise.race([idle.then(() => true), deadline.then(() => false)]);
        if (!isIdle) {
            log.write(events.nodeForcedStop, { requests: this.callers.getRequestsInProgress() });
            this.callers.abortRequests();
            await idle;
        }
        await ordersStopped;
        await this.claims.transferAnswers();
        await this.close();
        log.write(events.nodeStopped);
    }

    /** Gets the status that operators see. */
    getStatus(): NodeStatus {
        const now = this.options.clock.getMonotonicTime();
        return createNodeStatus({
            view: this.view,
            directory: this.endpoints.directory,
            readiness: this.lifecycle.getReadiness(),
            version: this.configurations.follower.getCurrent(),
            storeSilentMilliseconds: getAge(now, this.configurations.watcher.getLastContact()),
            peersSilentMilliseconds: getAge(now, this.membership.gossiper.getLastContact()),
            runningRequests: this.callers.getRequestsInProgress(),
            queuedRequests: this.admissions.admission.waitingCount,
            flowBoundTokensPerSecond: this.statistics.getThroughputBound(),
            tokensPerSecond: this.statistics.getTokensPerSecond(),
        });
    }

    private async close(): Promise<void> {
        await this.callers.close();
        this.membership.stop();
        this.configurations.watcher.stop();
        this.claims.close();
        this.admissions.capacities.stop();
        this.statistics.stop();
        await this.peerServer?.close();
        this.peers.close();
        this.access.close();
        await this.endpoints.close();
        this.tunnels.close();
        await this.admin.close();
        await this.platform.close();
        await this.tracing.shutdown();
    }

    private createPeerConnections(): PeerConnections {
        const { settings, log } = this.options;
        return PeerConnections.create({
            secret: settings.peerSecret,
            timeoutMilliseconds: peerTimeoutMilliseconds,
            tls: settings.tls.peers,
            log,
            onCall: (call, outcome) => this.metrics.peerCallsTotal.inc({ call, outcome }),
        });
    }

    private createEndpointAccess(): EndpointAccess {
        const { clock, random, log, createSocket = createTcpSocket } = this.options;
        const { view, metrics, tunnels } = this;
        const getStates = () => this.endpoints.directory.getStates();
        return EndpointAccess.create({
            clock,
            random,
            log,
            metrics,
            createSocket,
            openTunnel: options => tunnels.open(options),
            listPeers: () =>
                view.getAliveMembers()
                    .filter(({ nodeId }) => nodeId !== this.options.settings.vm)
                    .map(({ peerAddress }) => ({ address: peerAddress, unreachableFraction: 0 })),
            findEndpoint: address => this.endpoints.directory.getNameAt(address),
            countEndpoints: () => getStates().length,
            listOpenAddresses: () => this.endpoints.directory.getAddresses(),
            onReview: () => undefined,
            onLinksChanged: () => undefined,
        });
    }

    private createStatistics(): NodeStatistics {
        const { view, metrics } = this;
        return NodeStatistics.create({
            clock: this.options.clock,
            metrics,
            computeBound: () => this.chooser.computeFlowBound(view.getAliveMembers().map(member => member.dataCentre)),
            getNodeCount: () => Math.max(1, view.getAliveMembers().length),
            getQueueLength: () => this.admissions.admission.waitingCount,
            getTokenCount: () => metrics.getTokenCount(),
        });
    }

    private createMembership(owners: RendezvousOwners): MembershipService {
        const { settings, clock, random, log } = this.options;
        const { customerLimits } = this.admissions;
        return MembershipService.create({
            view: this.view,
            owners,
            peers: this.peers,
            follower: this.configurations.follower,
            watcher: this.configurations.watcher,
            listVms: this.platform.listVms,
            seedAddresses: settings.peers,
            clock,
            random,
            log,
            payloads: {
                collectEndpointRecords: budgetBytes => this.endpoints.collectRecords(budgetBytes),
                applyEndpointRecords: records => this.endpoints.applyRecords(records),
                collectDemandRecords: budgetBytes => {
                    const isSmall = this.view.getAliveMembers().length <= maximumFullRateNodes;
                    return customerLimits.getDemand(isSmall ? undefined : Math.floor(budgetBytes / demandRecordBytes));
                },
                applyDemandRecords: (records, nodeId) => customerLimits.applyPeerDemand(nodeId, records),
            },
            onVms: records => this.endpoints.directory.observeVms(records),
            onMembersChanged: () => {
                this.metrics.members.set(this.view.getAliveMembers().length);
                this.claims.updateOwnedShards();
                this.endpoints.updateDuties();
            },
        });
    }

    private createLifecycle(): NodeLifecycle {
        return NodeLifecycle.create({
            clock: this.options.clock,
            hasConfiguration: () => this.configurations.follower.getCurrent() !== undefined,
            getStoreContact: () => this.configurations.watcher.getLastContact(),
            getPeerContact: () => this.membership.gossiper.getLastContact(),
            hasKnownPeers: () => this.view.getMembers().length > 1 || this.view.getSeedAddresses().length > 0,
        });
    }

    private createCallerServer(): CallerServer {
        const { settings, clock, random, log } = this.options;
        return CallerServer.create({
            listener: settings.callerListener,
            tls: settings.tls.callers,
            limits: settings.limits,
            environment: {
                dataCentre: settings.dataCentre,
                clock,
                random,
                log,
                metrics: this.metrics,
                tracing: this.tracing,
                admission: this.admissions.admission,
                retryBudget: RetryBudget.create(clock.getMonotonicTime()),
                chooser: this.chooser,
                endpoints: this.endpoints.directory,
                claims: this.claims,
                getGateCapacity: gate => this.admissions.capacities.getCapacity(gate),
            },
            getVersion: () => this.configurations.getVersion(),
            getRefusal: () => this.lifecycle.getRefusal(),
        });
    }

    private applyVersion(version: ConfigurationVersion): void {
        this.endpoints.update(version.configuration);
        this.access.retain(new Set(this.endpoints.directory.getAddresses()));
        this.claims.configure(version.configuration.claims);
        this.view.setConfigurationVersion(version.version);
        this.metrics.configurationVersion.set(version.version);
        this.membership.distributor.announce(version.version);
    }
}

function getAge(now: number, at: number | undefined): number | undefined {
    return at === undefined ? undefined : Math.round(now - at);
}
