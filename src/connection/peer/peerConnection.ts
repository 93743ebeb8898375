import type { DescService } from "@bufbuild/protobuf";
import { type Client, createClient, type Interceptor } from "@connectrpc/connect";
import { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import { peerSecret } from "./peerSecret.ts";
import type { PeerTls } from "./peerTls.ts";
import { toSecureOptions } from "./toSecureOptions.ts";

/** Maximum size of a received message: a configuration of 1 MB, with a margin for its envelope. */
const maximumMessageBytes = 4 * 1024 * 1024;

/** Options of a {@link PeerConnection}. */
interface PeerConnectionOptions<Service extends DescService> {
    /** Service that is called at the peer. */
    service: Service;
    /** host:port of the peer listener. */
    address: string;
    /** Secret that all nodes share, or undefined if the network itself restricts access. */
    secret?: string;
    tls?: PeerTls;
    /** Time limit for connecting. */
    connectTimeoutMilliseconds: number;
    /** A connection that was idle for longer is checked with a ping before its next call. */
    pingIntervalMilliseconds: number;
    /** A connection that does not respond to a ping within this time is closed. */
    pingTimeoutMilliseconds: number;
    /** A connection that was idle for longer is closed. */
    idleTimeoutMilliseconds: number;
}

/** An HTTP/2 connection to a peer. It opens with its first call. */
export class PeerConnection<Service extends DescService> {
    /** Client of the service. */
    readonly client: Client<Service>;
    readonly connectTimeoutMilliseconds: number;
    private readonly sessions: Http2SessionManager;
    private callCount = 0;
    private isRetired = false;

    private constructor(options: PeerConnectionOptions<Service>) {
        this.connectTimeoutMilliseconds = options.connectTimeoutMilliseconds;
        const baseUrl = `${options.tls === undefined ? "http" : "https"}://${options.address}`;
        this.sessions = new Http2SessionManager(baseUrl, {
            pingIntervalMs: options.pingIntervalMilliseconds,
            pingTimeoutMs: options.pingTimeoutMilliseconds,
            pingIdleConnection: false,
            idleConnectionTimeoutMs: options.idleTimeoutMilliseconds,
            connectTimeoutMs: options.connectTimeoutMilliseconds,
        }, options.tls === undefined ? {} : toSecureOptions(options.tls));
        const transport = createConnectTransport({
            baseUrl,
            httpVersion: "2",
            sessionManager: this.sessions,
            interceptors: options.secret === undefined ? [] : [createSecretInterceptor(options.secret)],
            readMaxBytes: maximumMessageBytes,
            acceptCompression: [],
        });
        this.client = createClient(options.service, transport);
    }

    /** Creates a connection. It opens with its first call. */
    static create<Service extends DescService>(options: PeerConnectionOptions<Service>): PeerConnection<Service> {
        return new PeerConnection(options);
    }

    /** Gets the number of calls in flight. */
    getCallCount(): number {
        return this.callCount;
    }

    /** Runs a call and counts it while it is in flight. */
    async run<T>(call: (client: Client<Service>) => Promise<T>): Promise<T> {
        this.callCount++;
        try {
            return await call(this.client);
        }
        finally {
            this.callCount--;
            this.closeIfDone();
        }
    }

    /** Closes the connection after the calls in flight have ended. Each of them has a deadline. */
    retire(): void {
        this.isRetired = true;
        this.closeIfDone();
    }

    /** Closes the connection and aborts its calls. */
    close(): void {
        this.sessions.abort();
    }

    private closeIfDone(): void {
        if (this.isRetired && this.callCount === 0) {
            this.sessions.abort();
        }
    }
}

function createSecretInterceptor(secret: string): Interceptor {
    return next => request => {
        request.header.set(peerSecret.headerName, secret);
        return next(request);
    };
}
