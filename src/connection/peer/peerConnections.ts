import type { Client } from "@connectrpc/connect";
import type { EventLog } from "../../process/logging/eventLog.ts";
import { events } from "../../process/logging/events.ts";
import { Err, Ok, type Result } from "../../result.ts";
import {
    type AnnounceConfigurationRequest,
    type AnnounceConfigurationResponse,
    type ClaimRequest,
    type ClaimResponse,
    type GetConfigurationRequest,
    type GetConfigurationResponse,
    type GetKeptAnswerRequest,
    type GetKeptAnswerResponse,
    type GossipRequest,
    type GossipResponse,
    PeerService,
    type TakeKeptAnswersRequest,
    type TakeKeptAnswersResponse,
} from "../../wire/generated/foxlead/peer/v1/peer_pb.ts";
import { PeerConnection } from "./peerConnection.ts";
import type { PeerError } from "./peerError.ts";
import { PeerErrorKind } from "./peerErrorKind.ts";
import type { PeerTls } from "./peerTls.ts";
import { toPeerError } from "./toPeerError.ts";

const defaultTimeoutMilliseconds = 1_000;
const defaultMaximumCalls = 64;
const defaultPingIntervalMilliseconds = 5_000;
const defaultIdleTimeoutMilliseconds = 180_000;

/** Options of {@link PeerConnections}. */
interface PeerConnectionsOptions {
    /** Secret that all nodes share. */
    secret: string;
    /** Default deadline of a call. Default: 1000. */
    timeoutMilliseconds?: number;
    /** Maximum number of calls in flight to one peer. Further calls fail immediately. Default: 64. */
    maximumCallsPerPeer?: number;
    /** A connection that was idle for longer is checked with a ping before its next call. Default: 5000. */
    pingIntervalMilliseconds?: number;
    /** A connection that was idle for longer is closed. Default: 180000. */
    idleTimeoutMilliseconds?: number;
    /** Certificates. Without them, calls are not encrypted. */
    tls?: PeerTls;
    log: EventLog;
    /** Called after each call with its name, and with `ok` or the kind of its error. */
    onCall?(call: string, outcome: string): void;
}

/** Options of one call. */
interface PeerCallOptions {
    /** Deadline of the call. */
    timeoutMilliseconds?: number;
    /** Multiplies the deadline, for a process that is late. Default: 1. */
    timeoutFactor?: number;
}

/**
 * Calls peers by address over shared connections. A connection may be dead if a call on it exceeded its deadline, so
 * the next call uses a new one.
 */
export class PeerConnections {
    private readonly options: PeerConnectionsOptions;
    private readonly connections = new Map<string, PeerConnection<typeof PeerService>>();
    private isClosed = false;

    private constructor(options: PeerConnectionsOptions) {
        this.options = options;
    }

    /** Creates a client without open connections. */
    static create(options: PeerConnectionsOptions): PeerConnections {
        return new PeerConnections(options);
    }

    /** Exchanges membership records. */
    gossip(
        address: string,
        request: GossipRequest,
        options?: PeerCallOptions,
    ): Promise<Result<GossipResponse, PeerError>> {
        return this.call("gossip", address, options, (client, callOptions) => client.gossip(request, callOptions));
    }

    /** Announces a configuration version to a peer. */
    announceConfiguration(
        address: string,
        request: AnnounceConfigurationRequest,
        options?: PeerCallOptions,
    ): Promise<Result<AnnounceConfigurationResponse, PeerError>> {
        return this.call(
            "announceConfiguration",
            address,
            options,
            (client, callOptions) => client.announceConfiguration(request, callOptions),
        );
    }

    /** Fetches the configuration of a peer. */
    getConfiguration(
        address: string,
        request: GetConfigurationRequest,
        options?: PeerCallOptions,
    ): Promise<Result<GetConfigurationResponse, PeerError>> {
        return this.call(
            "getConfiguration",
            address,
            options,
            (client, callOptions) => client.getConfiguration(request, callOptions),
        );
    }

    /** Claims idempotency keys at the node that owns their shard. */
    claim(
        address: string,
        request: ClaimRequest,
        options?: PeerCallOptions,
    ): Promise<Result<ClaimResponse, PeerError>> {
        return this.call("claim", address, options, (client, callOptions) => client.claim(request, callOptions));
    }

    /** Fetches an answer that a peer stores. */
    getKeptAnswer(
        address: string,
        request: GetKeptAnswerRequest,
        options?: PeerCallOptions,
    ): Promise<Result<GetKeptAnswerResponse, PeerError>> {
        return this.call(
            "getKeptAnswer",
            address,
            options,
            (client, callOptions) => client.getKeptAnswer(request, callOptions),
        );
    }

    /** Transfers stored answers to a peer. */
    takeKeptAnswers(
        address: string,
        request: TakeKeptAnswersRequest,
        options?: PeerCallOptions,
    ): Promise<Result<TakeKeptAnswersResponse, PeerError>> {
        return this.call(
            "takeKeptAnswers",
            address,
            options,
            (client, callOptions) => client.takeKeptAnswers(request, callOptions),
        );
    }

    /** Closes all connections and aborts the calls in flight. */
    close(): void {
        this.isClosed = true;
        for (const connection of this.connections.values()) {
            connection.close();
        }
        this.connections.clear();
    }

    private async call<T>(
        name: string,
        address: string,
        options: PeerCallOptions | undefined,
        call: (client: Client<typeof PeerService>, callOptions: { timeoutMs: number; }) => Promise<T>,
    ): Promise<Result<T, PeerError>> {
        const result = await this.runCall(address, options, call);
        this.options.onCall?.(name, result.ok ? "ok" : result.val.kind);
        return result;
    }

    private async runCall<T>(
        address: string,
        options: PeerCallOptions | undefined,
        call: (client: Client<typeof PeerService>, callOptions: { timeoutMs: number; }) => Promise<T>,
    ): Promise<Result<T, PeerError>> {
        if (this.isClosed) {
            return Err(createClosedError(address));
        }
        const timeoutMs = (options?.timeoutMilliseconds ?? this.getTimeout()) * (options?.timeoutFactor ?? 1);
        const connection = this.getConnection(address, timeoutMs);
        const maximumCalls = this.options.maximumCallsPerPeer ?? defaultMaximumCalls;
        if (connection.getCallCount() >= maximumCalls) {
            return Err(createTooManyCallsError(address, maximumCalls));
        }
        try {
            return Ok(await connection.run(client => call(client, { timeoutMs })));
        }
        catch (reason) {
            const error = toPeerError(reason, address);
            if (error.kind === PeerErrorKind.TimedOut) {
                this.replace(address, connection);
            }
            else if (error.kind === PeerErrorKind.Unreachable && connection.connectTimeoutMilliseconds < timeoutMs) {
                // The next call has more time to connect.
                this.remove(address, connection);
            }
            return Err(error);
        }
    }

    /** Gets the connection to a peer, or creates one that has at least the time of the call that opens it to connect. */
    private getConnection(address: string, timeoutMs: number): PeerConnection<typeof PeerService> {
        const known = this.connections.get(address);
        if (known !== undefined) {
            return known;
        }
        const connection = PeerConnection.create({
            service: PeerService,
            address,
            secret: this.options.secret,
            tls: this.options.tls,
            connectTimeoutMilliseconds: Math.max(this.getTimeout(), timeoutMs),
            pingIntervalMilliseconds: this.options.pingIntervalMilliseconds ?? defaultPingIntervalMilliseconds,
            pingTimeoutMilliseconds: this.getTimeout() / 2,
            idleTimeoutMilliseconds: this.options.idleTimeoutMilliseconds ?? defaultIdleTimeoutMilliseconds,
        });
        this.connections.set(address, connection);
        return connection;
    }

    private replace(address: string, connection: PeerConnection<typeof PeerService>): void {
        if (this.remove(address, connection)) {
            this.options.log.write(events.peerCallTimedOut, { address });
        }
    }

    /** Gives the next call a new connection. Returns whether it would have used this one. */
    private remove(address: string, connection: PeerConnection<typeof PeerService>): boolean {
        connection.retire();
        return this.connections.get(address) === connection && this.connections.delete(address);
    }

    private getTimeout(): number {
        return this.options.timeoutMilliseconds ?? defaultTimeoutMilliseconds;
    }
}

function createClosedError(address: string): PeerError {
    return {
        kind: PeerErrorKind.Closed,
        message: `Peer ${address} was not called because this node is stopping; use another node.`,
    };
}

function createTooManyCallsError(address: string, limit: number): PeerError {
    const message = `Peer ${address} was not called because ${limit} calls to it are in flight; try again later.`;
    return { kind: PeerErrorKind.TooManyCalls, message };
}
