import type { TunnelOptions } from "../connection/peer/tunnel/tunnelOptions.ts";
import type { CreateSocket } from "../connection/upstream/path/createSocket.ts";
import { EndpointConnector } from "../connection/upstream/path/endpointConnector.ts";
import { EndpointPaths } from "../connection/upstream/path/endpointPaths.ts";
import type { OpenTunnel } from "../connection/upstream/path/openTunnel.ts";
import type { TunnelPeer } from "../connection/upstream/path/tunnelPeer.ts";
import { TunnelPeers } from "../connection/upstream/path/tunnelPeers.ts";
import type { Clock } from "./clock.ts";
import type { EventLog } from "./logging/eventLog.ts";
import { events } from "./logging/events.ts";
import type { Metrics } from "./metrics/metrics.ts";
import type { RandomSource } from "./randomSource.ts";

/** Options of {@link EndpointAccess}. */
interface EndpointAccessOptions {
    clock: Clock;
    random: RandomSource;
    log: EventLog;
    metrics: Pick<Metrics, "unreachableEndpoints">;
    /** Creates the sockets of direct connections to endpoints. */
    createSocket: CreateSocket;
    openTunnel: OpenTunnel;
    /** Lists the live peers that take tunnels. */
    listPeers(): TunnelPeer[];
    /** Finds the name of the endpoint at an address (host:port); undefined if there is none. */
    findEndpoint(address: string): string | undefined;
    countEndpoints(): number;
    /** Lists the addresses to which connections are held open. */
    listOpenAddresses(): string[];
    /** Called in each review of unreachable addresses: connections through peers that are not needed any more should be closed. */
    onReview(): void;
    /** Called when peers should know at once how many endpoints this node reaches. */
    onLinksChanged(): void;
    /** Called when the machine of an endpoint refused a connection, because no process listens at the address. */
    onRefused?(address: string): void;
    /** Called when a connection to an endpoint that nobody could open has proven that the endpoint is down, see `OpeningFailure`. */
    onDown?(address: string): void;
}

/** The ways of this node to the endpoints: which of its own links work, and the tunnels that it opens and takes. */
export class EndpointAccess {
    readonly connector: EndpointConnector;
    private readonly options: EndpointAccessOptions;
    private readonly paths: EndpointPaths;
    private isDraining = false;

    private constructor(options: EndpointAccessOptions) {
        this.options = options;
        const { clock, random, createSocket, openTunnel, listPeers, onReview } = options;
        this.paths = EndpointPaths.create({
            onChanged: (address, failure) => this.handlePathChanged(address, failure),
            onRefused: address => options.onRefused?.(address),
            onDown: address => options.onDown?.(address),
        });
        this.connector = EndpointConnector.create({
            clock,
            random,
            paths: this.paths,
            peers: TunnelPeers.create({ listPeers, random }),
            createSocket,
            openTunnel,
            onReview,
        });
    }

    /** Creates the access, without connections. */
    static create(options: EndpointAccessOptions): EndpointAccess {
        return new EndpointAccess(options);
    }

    /** Gets how connections for tunnels of peers are opened. */
    getTunnelOptions(): TunnelOptions {
        const { clock, createSocket } = this.options;
        return {
            clock,
            createSocket,
            getRefusal: address => this.getTunnelRefusal(address),
            onConnected: (address, failure) => this.handleTunnelConnected(address, failure),
        };
    }

    /** Gets the fraction of the endpoints tried that this node can't connect to, 0 to 1. */
    getUnreachableFraction(): number {
        return this.paths.getFailingFraction();
    }

    /** Takes no more tunnels. */
    startDraining(): void {
        this.isDraining = true;
    }

    /** Forgets the addresses that no endpoint has any more. */
    retain(addresses: ReadonlySet<string>): void {
        this.paths.retain(addresses);
    }

    /** Stops the reviews of unreachable addresses. */
    close(): void {
        this.connector.close();
    }

    private getTunnelRefusal(address: string): string | undefined {
        if (this.isDraining) {
            return "this node is shutting down.";
        }
        if (this.options.findEndpoint(address) === undefined) {
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
        const { log, metrics, findEndpoint, countEndpoints, listOpenAddresses, onLinksChanged } = this.options;
        const unreachable = this.paths.getFailingCount();
        metrics.unreachableEndpoints.set(unreachable);
        const details = { endpoint: findEndpoint(address) ?? "", address, unreachable, registered: countEndpoints() };
        if (failure === undefined) {
            log.write(events.endpointPathRestored, details);
            return;
        }
        log.write(events.endpointPathLost, { ...details, cause: failure });
        this.connector.handleUnreachable(listOpenAddresses);
        if (unreachable > 1) {
            onLinksChanged();
        }
    }
}
