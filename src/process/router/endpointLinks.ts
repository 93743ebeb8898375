import { openTcpTunnel } from "../../connection/peer/tunnel/openTcpTunnel.ts";
import { TunnelServer } from "../../connection/peer/tunnel/tunnelServer.ts";
import type { CreateSocket } from "../../connection/upstream/path/createSocket.ts";
import { createTcpSocket } from "../../connection/upstream/path/createTcpSocket.ts";
import type { TunnelPeer } from "../../connection/upstream/path/tunnelPeer.ts";
import { UpstreamPools } from "../../connection/upstream/upstreamPools.ts";
import type { Clock } from "../clock.ts";
import { EndpointAccess } from "../endpointAccess.ts";
import type { EventLog } from "../logging/eventLog.ts";
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
    /** Called when the machine of an endpoint refused a connection, because no process listens at the address. */
    onRefused(address: string): void;
    /** Called when a connection to an endpoint that nobody could open has proven that the endpoint is down, see `OpeningFailure`. */
    onDown(address: string): void;
}

/** The connections of a router node to the endpoints, and the listener for tunnels of its peers. */
export class EndpointLinks {
    readonly pools: UpstreamPools;
    private readonly options: EndpointLinksOptions;
    private readonly access: EndpointAccess;
    private server: TunnelServer | undefined;
    private isDraining = false;
    private onTunnelsClosed: (() => void) | undefined;

    private constructor(options: EndpointLinksOptions) {
        this.options = options;
        const { barrier, metrics, getRegistry } = options;
        this.access = EndpointAccess.create({
            createSocket: createTcpSocket,
            ...options,
            openTunnel: openTcpTunnel,
            listPeers: () => this.listTunnelPeers(),
            findEndpoint: address => getRegistry().getEndpointAt(address)?.id,
            countEndpoints: () => getRegistry().getAll().length,
            listOpenAddresses: () => this.pools.listOpenAddresses(),
            onReview: () => this.pools.closeUnusedTunnels(),
        });
        this.pools = UpstreamPools.create({
            barrier,
            connector: this.access.connector,
            onOpened: () => metrics.upstreamConnectionsTotal.inc(),
        });
    }

    /** Creates the links, without connections. */
    static create(options: EndpointLinksOptions): EndpointLinks {
        return new EndpointLinks(options);
    }

    /** Starts to take tunnels of peers. */
    async start(): Promise<void> {
        const { tunnelListener, metrics } = this.options;
        this.server = await TunnelServer.create({
            ...this.access.getTunnelOptions(),
            address: tunnelListener,
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
        return this.access.getUnreachableFraction();
    }

    /** Takes no more tunnels; peers stop using the open ones when they learn of it. */
    startDraining(): void {
        this.isDraining = true;
        this.access.startDraining();
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
        this.access.retain(addresses);
        this.pools.retain(addresses);
    }

    /** Closes all connections and tunnels. */
    async close(): Promise<void> {
        this.access.close();
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
}
