import type { Client } from "@connectrpc/connect";
import { PeerConnection } from "../../connection/peer/peerConnection.ts";
import { toPeerError } from "../../connection/peer/toPeerError.ts";
import { RouterService } from "../../wire/generated/foxlead/router/v1/router_pb.ts";
import type { EventLog } from "../logging/eventLog.ts";
import { events } from "../logging/events.ts";

/** A peer that takes no connection in this time is tried again in a later round. */
const connectTimeoutMilliseconds = 600;
const idleTimeoutMilliseconds = 60_000;

type RouterPeer = PeerConnection<typeof RouterService>;

/** The connections to the peers of a router, opened at the first call. */
export class RouterPeers {
    private readonly log: EventLog;
    private readonly connections = new Map<string, RouterPeer>();
    private readonly unreachable = new Set<string>();
    private isClosed = false;

    private constructor(log: EventLog) {
        this.log = log;
    }

    /** Creates a set without connections. */
    static create(log: EventLog): RouterPeers {
        return new RouterPeers(log);
    }

    /** Whether the last call to a peer failed. */
    isUnreachable(address: string): boolean {
        return this.unreachable.has(address);
    }

    /** Gets the number of calls to a peer that are under way. */
    getCallCount(address: string): number {
        return this.connections.get(address)?.getCallCount() ?? 0;
    }

    /**
     * Calls a peer.
     * @returns The answer; undefined where there is none, which is logged once until the peer answers again.
     */
    async call<T>(
        address: string,
        send: (client: Client<typeof RouterService>) => Promise<T>,
    ): Promise<T | undefined> {
        const connection = this.getConnection(address);
        try {
            const answer = await connection.run(send);
            this.noteReachable(address);
            return answer;
        }
        catch (reason) {
            this.drop(address, connection);
            this.noteUnreachable(address, reason);
            return undefined;
        }
    }

    /** Closes all connections. */
    close(): void {
        this.isClosed = true;
        for (const connection of this.connections.values()) {
            connection.close();
        }
        this.connections.clear();
    }

    private noteReachable(address: string): void {
        if (this.unreachable.delete(address)) {
            this.log.write(events.routerPeerRegained, { address });
        }
    }

    private noteUnreachable(address: string, reason: unknown): void {
        if (this.isClosed || this.unreachable.has(address)) {
            return;
        }
        this.unreachable.add(address);
        const { kind, message } = toPeerError(reason, address);
        this.log.write(events.routerPeerLost, { address, kind, reason: message });
    }

    private getConnection(address: string): RouterPeer {
        const known = this.connections.get(address);
        if (known !== undefined) {
            return known;
        }
        const connection = PeerConnection.create({
            service: RouterService,
            address,
            connectTimeoutMilliseconds,
            pingIntervalMilliseconds: idleTimeoutMilliseconds,
            pingTimeoutMilliseconds: connectTimeoutMilliseconds,
            idleTimeoutMilliseconds,
        });
        this.connections.set(address, connection);
        return connection;
    }

    /** A connection that failed once may have gone silent for good; the next call opens another. */
    private drop(address: string, connection: RouterPeer): void {
        connection.retire();
        if (this.connections.get(address) === connection) {
            this.connections.delete(address);
        }
    }
}
