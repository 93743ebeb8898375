import type { DescService } from "@bufbuild/protobuf";
import { type Client, createClient, type Interceptor } from "@connectrpc/connect";
import { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import { peerSecret } from "./peerSecret.ts";
import type { PeerTls } from "./peerTls.ts";

/** Largest message that is read, in bytes: a configuration of 1 MB and room for its envelope. */
const maximumMessageBytes = 4 * 1024 * 1024;

/** Options of a connection. */
interface PeerConnectionOptions<Service extends DescService> {
    /** What the peer is called for. */
    service: Service;
    /** host:port of the peer listener. */
    address: string;
    /** Secret that all nodes share; undefined where the network itself keeps others out. */
    secret?: string;
    tls?: PeerTls;
    /** Longest time for connecting, in milliseconds. */
    connectTimeoutMilliseconds: number;
    /** A connection unused for longer is checked by a ping before its next call, in milliseconds. */
    pingIntervalMilliseconds: number;
    /** A connection that does not answer a ping within this time is dead, in milliseconds. */
    pingTimeoutMilliseconds: number;
    /** A connection unused for longer is closed, in milliseconds. */
    idleTimeoutMilliseconds: number;
}

/** One HTTP/2 connection to a peer, opened at its first call. */
export class PeerConnection<Service extends DescService> {
    /** Client of the peer's service. */
    readonly client: Client<Service>;
    private readonly sessions: Http2SessionManager;
    private callCount = 0;
    private isRetired = false;

    private constructor(options: PeerConnectionOptions<Service>) {
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

    /** Creates a connection that is not open yet. */
    static create<Service extends DescService>(options: PeerConnectionOptions<Service>): PeerConnection<Service> {
        return new PeerConnection(options);
    }

    /** Gets the number of calls under way. */
    getCallCount(): number {
        return this.callCount;
    }

    /** Runs a call, counting it while it is under way. */
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

    /** Closes the connection once the calls under way have ended; each has a deadline. */
    retire(): void {
        this.isRetired = true;
        this.closeIfDone();
    }

    /** Closes the connection and ends its calls. */
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

function toSecureOptions(tls: PeerTls): { cert: string; key: string; ca: string; } {
    return { cert: tls.certificate, key: tls.key, ca: tls.authority };
}
