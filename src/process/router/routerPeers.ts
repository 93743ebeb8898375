import { type Client, createClient } from "@connectrpc/connect";
import { createFramedTransport } from "../../connection/peer/framed/createFramedTransport.ts";
import { FramedConnection } from "../../connection/peer/framed/framedConnection.ts";
import { toPeerError } from "../../connection/peer/toPeerError.ts";
import { RouterService } from "../../wire/generated/foxlead/router/v1/router_pb.ts";
import type { Clock } from "../clock.ts";
import type { EventLog } from "../logging/eventLog.ts";
import { events } from "../logging/events.ts";
import { parseAddress } from "../settings/parseAddress.ts";

/** A peer that accepts no connection within this time is called again in a later round. */
const connectTimeoutMilliseconds = 600;
const idleTimeoutMilliseconds = 60_000;

/** A peer with its connection and client. */
interface RouterPeer {
    connection: FramedConnection;
    client: Client<typeof RouterService>;
}

/** Connections to the peers of a router. Each one is opened at the first call. */
export class RouterPeers {
    private readonly log: EventLog;
    private readonly clock: Clock;
    private readonly peers = new Map<string, RouterPeer>();
    private readonly unreachable = new Set<string>();
    private isClosed = false;

    private constructor(log: EventLog, clock: Clock) {
        this.log = log;
        this.clock = clock;
    }

    /** Creates an instance without connections. */
    static create(log: EventLog, clock: Clock): RouterPeers {
        return new RouterPeers(log, clock);
    }

    /** Checks if the last call to a peer failed. */
    isUnreachable(address: string): boolean {
        return this.unreachable.has(address);
    }

    /** Gets the number of in-flight calls to a peer. */
    getCallCount(address: string): number {
        return this.peers.get(address)?.connection.getCallCount() ?? 0;
    }

    /**
     * Calls a peer.
     * @returns The answer, or undefined if the call failed. Failures are logged once until the peer answers again.
     */
    async call<T>(
        address: string,
        send: (client: Client<typeof RouterService>) => Promise<T>,
    ): Promise<T | undefined> {
        const peer = this.getPeer(address);
        if (peer === undefined) {
            return undefined;
        }
        try {
            const answer = await send(peer.client);
            this.noteReachable(address);
            return answer;
        }
        catch (reason) {
            this.drop(address, peer);
            this.noteUnreachable(address, reason);
            return undefined;
        }
    }

    /** Closes all connections. */
    close(): void {
        this.isClosed = true;
        for (const { connection } of this.peers.values()) {
            connection.close();
        }
        this.peers.clear();
    }

    private noteReachable(address: string): void {
        if (this.unreachable.delete(address)) {
            this.log.write(events.routerPeerReachable, { address });
        }
    }

    private noteUnreachable(address: string, reason: unknown): void {
        if (this.isClosed || this.unreachable.has(address)) {
            return;
        }
        this.unreachable.add(address);
        const { kind, message } = toPeerError(reason, address);
        this.log.write(events.routerPeerUnreachable, { address, kind, reason: message });
    }

    /** Gets or creates the connection to a peer; undefined if the address is invalid. */
    private getPeer(text: string): RouterPeer | undefined {
        const known = this.peers.get(text);
        const address = known === undefined ? parseAddress(text) : undefined;
        if (address === undefined) {
            return known;
        }
        const connection = FramedConnection.create({
            address,
            clock: this.clock,
            connectTimeoutMilliseconds,
            idleTimeoutMilliseconds,
        });
        const peer = { connection, client: createClient(RouterService, createFramedTransport(connection)) };
        this.peers.set(text, peer);
        return peer;
    }

    /** Drops a failed connection, since it may never respond again. The next call opens a new one. */
    private drop(address: string, peer: RouterPeer): void {
        peer.connection.retire();
        if (this.peers.get(address) === peer) {
            this.peers.delete(address);
        }
    }
}
