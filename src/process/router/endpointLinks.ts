import { TunnelServer } from "../../connection/peer/tunnel/tunnelServer.ts";
import type { CreateSocket } from "../../connection/upstream/path/createSocket.ts";
import { createTcpSocket } from "../../connection/upstream/path/createTcpSocket.ts";
import { EndpointConnector } from "../../connection/upstream/path/endpointConnector.ts";
import { EndpointPaths } from "../../connection/upstream/path/endpointPaths.ts";
import type { TunnelPeer } from "../../connection/upstream/path/tunnelPeer.ts";
import { TunnelPeers } from "../../connection/upstream/path/tunnelPeers.ts";
import { UpstreamPools } from "../../connection/upstream/upstreamPools.ts";
import type { Clock } from "../clock.ts";
import type { EventLog } from "../logging/eventLog.ts";
import { events } from "../logging/events.ts";
import type { InputBarrier } from "../loop/inputBarrier.ts";
import type { Metrics } from "../metrics/metrics.ts";
import type { RandomSource } from "../randomSource.ts";
import type { EndpointRegistry } from "./endpointRegistry.ts";
import type { NodeTable } from "./nodeTable.ts";

/** Options of {@link EndpointLinks}. */
interface EndpointLinksOptions {
    /** Address to listen on for tunnels of peers, as host:port. */
    tunnelListener: string;
    clock: Clock;
    barrier: Pick<InputBarrier, "defer">;
    random: RandomSource;
    log: EventLog;
    metrics: Metrics;
    nodes: NodeTable;
    /** Creates the sockets of direct connections to endpoints. Default: TCP sockets. */
    createSocket?: CreateSocket;
    /** Gets the registered endpoints. */
    getRegistry(): Pick<EndpointRegistry, "getEndpointAt" | "getAll">;
    /** Called when peers should know at once how many endpoints this node reaches. */
    onLinksChanged(): void;
}

/** The links of this node to the endpoints: its connections, which of its paths work, and the tunnels that it opens and takes. */
export class EndpointLinks {
    readonly pools: UpstreamPools;
    private readonly options: EndpointLinksOptions;
    private readonly paths: EndpointPaths;
    private readonly connector: EndpointConnector;
    private readonly createSocket: CreateSocket;
    private server: TunnelServer | undefined;
    private isDraining = false;
    private onTunnelsClosed: (() => void) | undefined;

    private constructor(options: EndpointLinksOptions) {
        this.options = options;
        const { clock, barrier, random, metrics, createSocket = createTcpSocket } = options;
        this.createSocket = createSocket;
        this.paths = EndpointPaths.create((address, failure) => this.handlePathChanged(address, failure));
        this.connector = EndpointConnector.create({
            clock,
            paths: this.paths,
            peers: TunnelPeers.create({
                listPeers: () => this.listTunnelPeers(),
                random,
            }),
            createSocket,
            random,
            onReview: () => this.pools.closeUnusedTunnels(),
        });
        this.pools = UpstreamPools.create({
            barrier,
            connector: this.connector,
            onOpened: () => metrics.upstreamConnectionsTotal.inc(),
        });
    }

    /** Creates the links, without connections. */
    static create(options: EndpointLinksOptions): EndpointLinks {
        return new EndpointLinks(options);
    }

    /** Starts to take tunnels of peers. */
    async start(): Promise<void> {
        const { tunnelListener, clock, metrics } = this.options;
        this.server = await TunnelServer.create({
            address: tunnelListener,
            clock,
            createSocket: this.createSocket,
            getRefusal: address => this.getTunnelRefusal(address),
            onConnected: (address, failure) => this.handleTunnelConnected(address, failure),
            onCountChanged: count => {
                metrics.tunnels.set(count);
                if (count === 0) {
                    this.onTunnelsClosed?.();
                }
            },
        });
    }

    /** Gets the address of the listener for tunnels, as host:port; empty if this node takes none. */
    getTunnelAddress(): string {
        return this.server === undefined || this.isDraining ? "" : this.options.tunnelListener;
    }

    /** Gets the fraction of the endpoints tried that this node can't connect to, 0 to 1. */
    getUnreachableFraction(): number {
        return this.paths.getFailingFraction();
    }

    /** Takes no more tunnels; peers stop using the open ones when they learn of it. */
    startDraining(): void {
        this.isDraining = true;
    }

    /** Waits until peers have closed all tunnels. */
    waitUntilUnused(): Promise<void> {
        return new Promise(resolve => {
            this.onTunnelsClosed = resolve;
            if ((this.server?.getCount() ?? 0) === 0) {
                resolve();
            }
        });
    }

    /** Forgets the addresses that no endpoint has any more. */
    retain(addresses: ReadonlySet<string>): void {
        this.paths.retain(addresses);
        this.pools.retain(addresses);
    }

    /** Closes all connections and tunnels. */
    async close(): Promise<void> {
        this.connector.close();
        this.pools.close();
        await this.server?.close();
    }

    private listTunnelPeers(): TunnelPeer[] {
        const { nodes, clock } = this.options;
        const peers: TunnelPeer[] = [];
        for (const { tunnelAddress, unreachableFraction = 0 } of nodes.getLiveNodes(clock.getMonotonicTime())) {
            if (tunnelAddress) {
                peers.push({ address: tunnelAddress, unreachableFraction });
            }
        }
        return peers;
    }

    private getTunnelRefusal(address: string): string | undefined {
        if (this.isDraining) {
            return "this node is shutting down.";
        }
        if (this.options.getRegistry().getEndpointAt(address) === undefined) {
            return "no endpoint is registered at this address.";
        }
        return this.paths.getFailingSince(address) === undefined ? undefined : "this node can't connect to it either.";
    }

    private handleTunnelConnected(address: string, failure: string | undefined): void {
        const now = this.options.clock.getMonotonicTime();
        if (failure === undefined) {
            this.paths.recordOpened(address, now);
        }
        else {
            this.paths.recordFailed(address, failure, now);
        }
    }

    private handlePathChanged(address: string, failure: string | undefined): void {
        const { log, metrics, getRegistry, onLinksChanged } = this.options;
        const unreachable = this.paths.getFailingCount();
        metrics.unreachableEndpoints.set(unreachable);
        const registry = getRegistry();
        const endpoint = registry.getEndpointAt(address)?.id ?? "";
        const details = { endpoint, address, unreachable, registered: registry.getAll().length };
        if (failure === undefined) {
            log.write(events.endpointPathRestored, details);
            return;
        }
        log.write(events.endpointPathLost, { ...details, cause: failure });
        this.connector.handleUnreachable(() => this.pools.listOpenAddresses());
        if (unreachable > 1) {
            onLinksChanged();
        }
    }
}
