import { PeerServer } from "../connection/peer/peerServer.ts";
import { AdminServer } from "./admin/adminServer.ts";
import type { NodeStatus } from "./admin/nodeStatus.ts";
import { createNodeStatus } from "./createNodeStatus.ts";
import { createPeerHandlers } from "./createPeerHandlers.ts";
import type { FoxleadNodeOptions } from "./foxleadNodeOptions.ts";
import { events } from "./logging/events.ts";
import { NodeServices } from "./nodeServices.ts";

/** A Foxlead node: starts the services of the process, stops them in order and reports their status. */
export class FoxleadNode {
    private readonly options: FoxleadNodeOptions;
    private readonly services: NodeServices;
    private readonly admin: AdminServer;
    private peerServer: PeerServer | undefined;

    private constructor(options: FoxleadNodeOptions, services: NodeServices) {
        this.options = options;
        this.services = services;
        this.admin = AdminServer.create({
            listener: options.settings.adminListener,
            metrics: services.metrics,
            isReady: () => services.lifecycle.getReadiness(),
            isHealthy: () => true,
            getStatus: () => this.getStatus(),
        });
    }

    /** Creates a node. It does not listen before {@link FoxleadNode.start}. */
    static async create(options: FoxleadNodeOptions): Promise<FoxleadNode> {
        return new FoxleadNode(options, await NodeServices.create(options));
    }

    /**
     * Starts the listeners and all services.
     * @throws Error if a listener cannot be started.
     */
    async start(): Promise<void> {
        const { settings, log } = this.options;
        const { membership, claims, access, callers, configurations, endpoints, admissions, statistics, orders } =
            this.services;
        const { gossiper, distributor } = membership;
        this.peerServer = await PeerServer.create({
            address: settings.peerListener,
            secret: settings.peerSecret,
            tls: settings.tls.peers,
            log,
            handlers: createPeerHandlers({ gossiper, distributor, claims }),
            tunnels: access.getTunnelOptions(),
        });
        const admin = await this.admin.listen();
        if (!admin.ok) {
            throw new Error(admin.val.message);
        }
        await callers.listen();
        configurations.watcher.start();
        membership.start();
        endpoints.start();
        admissions.capacities.start();
        statistics.start();
        orders.start();
        log.write(events.nodeStarted, { caller: settings.callerListener, peer: settings.peerListener });
    }

    /**
     * Shuts down gracefully: refuses new requests, announces the departure so that duties move to other nodes, and waits
     * for the requests in flight.
     * @param deadline - Resolves when the remaining requests are to be aborted. Each gets the answer that matches its state.
     */
    async stop(deadline: Promise<void>): Promise<void> {
        const { lifecycle, access, admissions, callers, membership, orders, claims } = this.services;
        const { log } = this.options;
        lifecycle.startDraining();
        access.startDraining();
        admissions.admission.startDraining();
        log.write(events.nodeDraining, { requests: callers.getRequestsInProgress() });
        void membership.announceLeaving();
        const ordersStopped = orders.stop();
        const idle = callers.waitUntilIdle();
        const isIdle = await Promise.race([idle.then(() => true), deadline.then(() => false)]);
        if (!isIdle) {
            log.write(events.nodeForcedStop, { requests: callers.getRequestsInProgress() });
            callers.abortRequests();
            await idle;
        }
        await ordersStopped;
        await claims.transferAnswers();
        await this.close();
        log.write(events.nodeStopped);
    }

    /** Gets the status that operators see. */
    getStatus(): NodeStatus {
        const { view, endpoints, lifecycle, configurations, membership, callers, admissions, statistics } =
            this.services;
        const now = this.options.clock.getMonotonicTime();
        return createNodeStatus({
            view,
            directory: endpoints.directory,
            readiness: lifecycle.getReadiness(),
            version: configurations.follower.getCurrent(),
            storeSilentMilliseconds: getAge(now, configurations.watcher.getLastContact()),
            peersSilentMilliseconds: getAge(now, membership.gossiper.getLastContact()),
            runningRequests: callers.getRequestsInProgress(),
            queuedRequests: admissions.admission.waitingCount,
            flowBoundTokensPerSecond: statistics.getThroughputBound(),
            tokensPerSecond: statistics.getTokensPerSecond(),
        });
    }

    private async close(): Promise<void> {
        const {
            callers,
            membership,
            configurations,
            claims,
            admissions,
            statistics,
            peers,
            access,
            endpoints,
            tunnels,
            platform,
            tracing,
        } = this.services;
        await callers.close();
        membership.stop();
        configurations.watcher.stop();
        claims.close();
        admissions.capacities.stop();
        statistics.stop();
        await this.peerServer?.close();
        peers.close();
        access.close();
        await endpoints.close();
        tunnels.close();
        await this.admin.close();
        await platform.close();
        await tracing.shutdown();
    }
}

function getAge(now: number, at: number | undefined): number | undefined {
    return at === undefined ? undefined : Math.round(now - at);
}
