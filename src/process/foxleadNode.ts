import { CallerServer } from "../connection/caller/callerServer.ts";
import { PeerConnections } from "../connection/peer/peerConnections.ts";
import { PeerServer } from "../connection/peer/peerServer.ts";
import { Admission } from "../request/admission/admission.ts";
import { CustomerLimits } from "../request/admission/customerLimits.ts";
import { RetryBudget } from "../request/admission/retryBudget.ts";
import { EstimatedTimeChooser } from "../request/chain/estimatedTimeChooser.ts";
import { GateCapacities } from "../request/gateCapacities.ts";
import type { RequestEnvironment } from "../request/requestEnvironment.ts";
import type { Configuration } from "../version/configuration.ts";
import { ConfigurationFollower } from "../version/configurationFollower.ts";
import type { ConfigurationVersion } from "../version/configurationVersion.ts";
import { ConfigurationWatcher } from "../version/configurationWatcher.ts";
import { CustomerIndex } from "../version/customerIndex.ts";
import { restoreStoredConfiguration } from "../version/restoreStoredConfiguration.ts";
import { AdminServer } from "./admin/adminServer.ts";
import type { NodeStatus } from "./admin/nodeStatus.ts";
import { ShardHash } from "./claims/shardHash.ts";
import { ClaimService } from "./claimService.ts";
import type { Clock } from "./clock.ts";
import { createNodeStatus } from "./createNodeStatus.ts";
import { createPeerHandlers } from "./createPeerHandlers.ts";
import { EndpointService } from "./endpointService.ts";
import type { EventLog } from "./logging/eventLog.ts";
import { events } from "./logging/events.ts";
import { MembershipView } from "./membership/membershipView.ts";
import { MemberState } from "./membership/memberState.ts";
import { RendezvousOwners } from "./membership/rendezvousOwners.ts";
import { MembershipService } from "./membershipService.ts";
import { Metrics } from "./metrics/metrics.ts";
import { NodeFigures } from "./nodeFigures.ts";
import { NodeLifecycle } from "./nodeLifecycle.ts";
import { OrderDispatcher } from "./orders/orderDispatcher.ts";
import { OrderPolicy } from "./orders/orderPolicy.ts";
import { createCountingStore } from "./platform/createCountingStore.ts";
import { createVmListReader } from "./platform/createVmListReader.ts";
import { EtcdStore } from "./platform/etcdStore.ts";
import type { PlatformStore, StoredValue } from "./platform/platformStore.ts";
import type { RandomSource } from "./randomSource.ts";
import type { NodeSettings } from "./settings/nodeSettings.ts";
import { Tracing } from "./tracing/tracing.ts";

/** What a node is created from. */
interface FoxleadNodeOptions {
    settings: NodeSettings;
    log: EventLog;
    clock: Clock;
    random: RandomSource;
}

/** Hash functions, loaded once. */
interface Hashes {
    owners: RendezvousOwners;
    shardHash: ShardHash;
}

const configurationCheckMilliseconds = 10_000;
const peerTimeoutMilliseconds = 1_000;
/** A burst above the even share of the endpoints' places that a node may take, since callers spread unevenly. */
const capacityHeadroom = 1.5;
const emptyConfiguration: Configuration = {
    models: {},
    services: {},
    endpoints: {},
    dataCentres: {},
    links: [],
    customers: {},
    limits: { maximumBodyBytes: 0, maximumTokens: 0, maximumQueueMilliseconds: 0, maximumQueuedRequests: 0 },
    claims: { shards: 1, windowMilliseconds: 1, appendIntervalMilliseconds: 1 },
};

/** One node: everything that lives as long as its process. */
export class FoxleadNode {
    private readonly options: FoxleadNodeOptions;
    private readonly metrics = Metrics.create();
    private readonly tracing: Tracing;
    private readonly connectedStore: EtcdStore;
    /** The connected store with its calls counted. */
    private readonly store: PlatformStore;
    private readonly view: MembershipView;
    private readonly peers: PeerConnections;
    private readonly follower: ConfigurationFollower;
    private readonly watcher: ConfigurationWatcher;
    private readonly membership: MembershipService;
    private readonly endpoints: EndpointService;
    private readonly claims: ClaimService;
    private readonly customerLimits: CustomerLimits;
    private readonly capacities: GateCapacities;
    private readonly admission: Admission;
    private readonly chooser: EstimatedTimeChooser;
    private readonly orders: OrderDispatcher;
    private readonly figures: NodeFigures;
    private readonly lifecycle: NodeLifecycle;
    private readonly callers: CallerServer;
    private readonly admin: AdminServer;
    private peerServer: PeerServer | undefined;
    private customers: CustomerIndex | undefined;

    private constructor(options: FoxleadNodeOptions, hashes: Hashes) {
        const { settings, log, clock, random } = options;
        const { owners, shardHash } = hashes;
        const nodeId = settings.vm;
        this.options = options;
        this.tracing = Tracing.create({ ...settings.tracing, vm: nodeId });
        this.connectedStore = EtcdStore.create({
            address: settings.platform.storeAddress,
            timeoutMilliseconds: settings.platform.timeoutMilliseconds,
        });
        this.store = createCountingStore(this.connectedStore, (call, outcome) => {
            this.metrics.storeCallsTotal.inc({ call, outcome });
        });
        this.view = MembershipView.create({
            nodeId,
            peerAddress: settings.peerListener,
            dataCentre: settings.dataCentre,
            incarnation: Math.floor(clock.getWallTime()),
        });
        this.peers = PeerConnections.create({
            secret: settings.peerSecret,
            timeoutMilliseconds: peerTimeoutMilliseconds,
            tls: createPeerTls(settings),
            log,
            onCall: (call, outcome) => this.metrics.peerCallsTotal.inc({ call, outcome }),
        });
        this.follower = ConfigurationFollower.create({ onAccepted: version => this.putInForce(version) });
        this.watcher = ConfigurationWatcher.create({
            store: this.store,
            follower: this.follower,
            clock,
            random,
            eventLog: log,
            checkIntervalMilliseconds: configurationCheckMilliseconds,
            onStoreBehind: stored => void this.restoreStored(stored),
        });
        const { view, peers, metrics } = this;
        const getConfiguration = () => this.getConfiguration();
        this.endpoints = EndpointService.create({
            nodeId,
            clock,
            random,
            log,
            metrics,
            view,
            owners,
            getChooser: () => this.chooser,
        });
        this.chooser = EstimatedTimeChooser.create({
            getConfiguration,
            getEndpointState: endpoint => this.endpoints.directory.getState(endpoint),
            clock,
            random,
        });
        this.claims = ClaimService.create({ nodeId, store: this.store, clock, log, view, owners, peers, shardHash });
        this.customerLimits = CustomerLimits.create({
            getConfiguration,
            clock,
            random,
            getNodeCount: () => view.getAliveMembers().length,
        });
        this.capacities = GateCapacities.create({
            clock,
            getConfiguration,
            getEndpointState: endpoint => this.endpoints.directory.getState(endpoint),
            onGrown: gate => this.admission.admitWaiting(gate),
        });
        this.admission = Admission.create({
            getConfiguration,
            clock,
            random,
            customerLimits: this.customerLimits,
            getConcurrencyLimit: gate => this.getConcurrencyLimit(gate),
        });
        this.orders = this.createOrders(owners);
        this.figures = this.createFigures();
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

    /** Creates a node that does not listen yet. */
    static async create(options: FoxleadNodeOptions): Promise<FoxleadNode> {
        const owners = await RendezvousOwners.create();
        const shardHash = await ShardHash.create();
        return new FoxleadNode(options, { owners, shardHash });
    }

    /**
     * Starts to listen and to take part.
     * @throws Error where an address cannot be listened at.
     */
    async start(): Promise<void> {
        const { settings, log } = this.options;
        this.peerServer = await PeerServer.create({
            address: settings.peerListener,
            secret: settings.peerSecret,
            tls: createPeerTls(settings),
            log,
            handlers: createPeerHandlers({
                gossiper: this.membership.gossiper,
                spreader: this.membership.spreader,
                claims: this.claims,
            }),
        });
        const admin = await this.admin.listen();
        if (!admin.ok) {
            throw new Error(admin.val.message);
        }
        await this.callers.listen();
        this.watcher.start();
        this.membership.start();
        this.endpoints.start();
        this.capacities.start();
        this.figures.start();
        this.orders.start();
        log.write(events.nodeStarted, { caller: settings.callerListener, peer: settings.peerListener });
    }

    /**
     * Shuts down gracefully: no new requests, those in progress finish, duties pass on.
     * @param deadline - Settles when what is left is to be ended with the answer that is true of it.
     */
    async stop(deadline: Promise<void>): Promise<void> {
        const { log } = this.options;
        this.lifecycle.startDraining();
        this.admission.startDraining();
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
        await this.close();
        log.write(events.nodeStopped);
    }

    /** Gets what operators see of this node. */
    getStatus(): NodeStatus {
        const now = this.options.clock.getMonotonicTime();
        return createNodeStatus({
            view: this.view,
            directory: this.endpoints.directory,
            readiness: this.lifecycle.getReadiness(),
            version: this.follower.getCurrent(),
            storeSilentMilliseconds: getAge(now, this.watcher.getLastContact()),
            peersSilentMilliseconds: getAge(now, this.membership.gossiper.getLastContact()),
            runningRequests: this.callers.getRequestsInProgress(),
            queuedRequests: this.admission.waitingCount,
            flowBoundTokensPerSecond: this.figures.getBound(),
            tokensPerSecond: this.figures.getTokensPerSecond(),
        });
    }

    private async close(): Promise<void> {
        await this.callers.close();
        this.membership.stop();
        this.watcher.stop();
        this.claims.close();
        this.capacities.stop();
        this.figures.stop();
        await this.peerServer?.close();
        this.peers.close();
        await this.endpoints.close();
        await this.admin.close();
        await this.connectedStore.close();
        await this.tracing.shutdown();
    }

    private createOrders(owners: RendezvousOwners): OrderDispatcher {
        const { clock, random, log, settings } = this.options;
        const { view, store } = this;
        const { directory } = this.endpoints;
        return OrderDispatcher.create({
            nodeId: settings.vm,
            store,
            clock,
            random,
            log,
            policy: OrderPolicy,
            getConfiguration: () => this.getConfiguration(),
            getEndpointStates: () => directory.getStates(),
            sendOrder: (endpoint, order) => directory.getEngine(endpoint)?.sendOrder(order),
            getStatus: endpoint => directory.getEngine(endpoint)?.getStatus(),
            isDutyOwner: () => {
                const alive = view.getAliveMembers().filter(member => member.state === MemberState.Alive);
                return owners.getOwners("orders", alive.map(member => member.nodeId), 1)[0] === settings.vm;
            },
        });
    }

    private createFigures(): NodeFigures {
        return NodeFigures.create({
            clock: this.options.clock,
            metrics: this.metrics,
            computeBound: () => {
                return this.chooser.computeBound(this.view.getAliveMembers().map(member => member.dataCentre));
            },
            getNodeCount: () => Math.max(1, this.view.getAliveMembers().length),
            getQueueLength: () => this.admission.waitingCount,
            getTokenCount: () => this.metrics.getTokenCount(),
        });
    }

    private createMembership(owners: RendezvousOwners): MembershipService {
        const { settings, clock, random, log } = this.options;
        const { vmListAddress, timeoutMilliseconds } = settings.platform;
        return MembershipService.create({
            view: this.view,
            owners,
            peers: this.peers,
            follower: this.follower,
            watcher: this.watcher,
            listVms: createVmListReader({ address: vmListAddress, timeoutMilliseconds }),
            seedAddresses: settings.peers,
            clock,
            random,
            log,
            payloads: {
                collectEndpointRecords: budgetBytes => this.endpoints.collectRecords(budgetBytes),
                applyEndpointRecords: records => this.endpoints.applyRecords(records),
                collectDemandRecords: () => this.customerLimits.getDemand(),
                applyDemandRecords: (records, nodeId) => this.customerLimits.applyPeerDemand(nodeId, records),
            },
            onVms: records => this.endpoints.directory.observeVms(records),
            onMembersChanged: () => {
                this.metrics.members.set(this.view.getAliveMembers().length);
                this.claims.updateOwnedShards();
            },
        });
    }

    private createLifecycle(): NodeLifecycle {
        return NodeLifecycle.create({
            clock: this.options.clock,
            hasConfiguration: () => this.follower.getCurrent() !== undefined,
            getStoreContact: () => this.watcher.getLastContact(),
            getPeerContact: () => this.membership.gossiper.getLastContact(),
            hasKnownPeers: () => this.view.getMembers().length > 1 || this.view.getSeedAddresses().length > 0,
        });
    }

    private createCallerServer(): CallerServer {
        const { settings, clock, random, log } = this.options;
        const environment: RequestEnvironment = {
            dataCentre: settings.dataCentre,
            clock,
            random,
            log,
            metrics: this.metrics,
            tracing: this.tracing,
            admission: this.admission,
            retryBudget: RetryBudget.create(clock.getMonotonicTime()),
            chooser: this.chooser,
            endpoints: this.endpoints.directory,
            claims: this.claims,
            getGateCapacity: gate => this.capacities.getCapacity(gate),
        };
        return CallerServer.create({
            listener: settings.callerListener,
            tls: settings.tls.callers,
            limits: settings.limits,
            environment,
            getVersion: () => this.getVersion(),
            getRefusal: () => this.lifecycle.getRefusal(),
        });
    }

    private putInForce(version: ConfigurationVersion): void {
        this.customers = CustomerIndex.create(version.configuration);
        this.endpoints.update(version.configuration);
        this.claims.configure(version.configuration.claims);
        this.view.setConfigurationVersion(version.version);
        this.metrics.configurationVersion.set(version.version);
        this.membership.spreader.announce(version.version);
    }

    private async restoreStored(stored: StoredValue | undefined): Promise<void> {
        const held = this.follower.getCurrent();
        if (held === undefined) {
            return;
        }
        const { clock, log } = this.options;
        const options = { store: this.store, held, stored, wallTime: clock.getWallTime() };
        const restored = await restoreStoredConfiguration(options);
        if (restored.ok && restored.val.swapped) {
            log.write(events.configurationRestored, { version: held.version });
        }
    }

    private getVersion(): { version: ConfigurationVersion; customers: CustomerIndex; } | undefined {
        const version = this.follower.getCurrent();
        return version === undefined || this.customers === undefined
            ? undefined
            : { version, customers: this.customers };
    }

    private getConfiguration(): Configuration {
        return this.follower.getCurrent()?.configuration ?? emptyConfiguration;
    }

    private getConcurrencyLimit(gate: string): number {
        const capacity = this.capacities.getCapacity(gate);
        const nodes = Math.max(1, this.view.getAliveMembers().length);
        return Math.min(capacity, Math.ceil(capacity / nodes * capacityHeadroom));
    }
}

function createPeerTls(
    settings: NodeSettings,
): { certificate: string; key: string; authority: string; } | undefined {
    const { peers } = settings.tls;
    return peers === undefined ? undefined : { ...peers, authority: peers.authority ?? "" };
}

function getAge(now: number, at: number | undefined): number | undefined {
    return at === undefined ? undefined : Math.round(now - at);
}
