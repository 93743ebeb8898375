import { CallerServer } from "../connection/caller/callerServer.ts";
import { PeerConnections } from "../connection/peer/peerConnections.ts";
import { PeerTunnels } from "../connection/peer/tunnel/peerTunnels.ts";
import { createTcpSocket } from "../connection/upstream/path/createTcpSocket.ts";
import { RetryBudget } from "../request/admission/retryBudget.ts";
import { EstimatedTimeChooser } from "../request/chain/estimatedTimeChooser.ts";
import type { ConfigurationVersion } from "../version/configurationVersion.ts";
import { AdmissionService } from "./admissionService.ts";
import { ShardHash } from "./claims/shardHash.ts";
import { ClaimService } from "./claimService.ts";
import { ConfigurationService } from "./configurationService.ts";
import { createOrderDispatcher } from "./createOrderDispatcher.ts";
import { EndpointAccess } from "./endpointAccess.ts";
import { EndpointService } from "./endpointService.ts";
import type { FoxleadNodeOptions } from "./foxleadNodeOptions.ts";
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
import { Tracing } from "./tracing/tracing.ts";

/** Services whose hash functions are loaded asynchronously. */
interface Hashes {
    owners: RendezvousOwners;
    shardHash: ShardHash;
}

/** Estimated size of one customer's demand record on the wire. */
const demandRecordBytes = 30;
const peerTimeoutMilliseconds = 1_000;

/**
 * The services of a node, each connected to those that it needs. Some need each other, so a service reaches one that is created later
 * through a callback.
 */
export class NodeServices {
    readonly metrics = Metrics.create();
    readonly tracing: Tracing;
    readonly platform: PlatformAccess;
    readonly view: MembershipView;
    readonly peers: PeerConnections;
    readonly configurations: ConfigurationService;
    readonly tunnels: PeerTunnels;
    readonly access: EndpointAccess;
    readonly endpoints: EndpointService;
    readonly chooser: EstimatedTimeChooser;
    readonly claims: ClaimService;
    readonly admissions: AdmissionService;
    readonly orders: OrderDispatcher;
    readonly statistics: NodeStatistics;
    readonly membership: MembershipService;
    readonly lifecycle: NodeLifecycle;
    readonly callers: CallerServer;
    private readonly options: FoxleadNodeOptions;

    private constructor(options: FoxleadNodeOptions, hashes: Hashes) {
        const { settings, log, clock, random } = options;
        const { owners, shardHash } = hashes;
        const { metrics } = this;
        const nodeId = settings.vm;
        this.options = options;
        this.tracing = Tracing.create({ ...settings.tracing, vm: nodeId });
        this.platform = PlatformAccess.create(settings.platform, metrics);
        this.view = this.createMembershipView();
        this.peers = this.createPeerConnections();
        this.tunnels = PeerTunnels.create({ secret: settings.peerSecret, tls: settings.tls.peers });
        const { view, peers, tracing } = this;
        const { store } = this.platform;
        this.configurations = this.createConfigurations();
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
    }

    /** Creates the services, of which none does anything before it is started. */
    static async create(options: FoxleadNodeOptions): Promise<NodeServices> {
        const owners = await RendezvousOwners.create();
        const shardHash = await ShardHash.create();
        return new NodeServices(options, { owners, shardHash });
    }

    private createMembershipView(): MembershipView {
        const { settings, clock } = this.options;
        return MembershipView.create({
            nodeId: settings.vm,
            peerAddress: settings.peerListener,
            dataCentre: settings.dataCentre,
            incarnation: Math.floor(clock.getWallTime()),
        });
    }

    private createConfigurations(): ConfigurationService {
        const { clock, random, log } = this.options;
        return ConfigurationService.create({
            store: this.platform.store,
            clock,
            random,
            log,
            getIntervalFactor: () => getIntervalFactor(this.view),
            onAccepted: version => this.applyVersion(version),
        });
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

    /** Brings a version of the configuration into force in all services. */
    private applyVersion(version: ConfigurationVersion): void {
        this.endpoints.update(version.configuration);
        this.access.retain(new Set(this.endpoints.directory.getAddresses()));
        this.claims.configure(version.configuration.claims);
        this.view.setConfigurationVersion(version.version);
        this.metrics.configurationVersion.set(version.version);
        this.membership.distributor.announce(version.version);
    }
}
