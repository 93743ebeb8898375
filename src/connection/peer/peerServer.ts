import type { ConnectRouter } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import * as http2 from "node:http2";
import type { AddressInfo } from "node:net";
import type { EventLog } from "../../process/logging/eventLog.ts";
import { events } from "../../process/logging/events.ts";
import { PeerService } from "../../wire/generated/foxlead/peer/v1/peer_pb.ts";
import type { PeerHandlers } from "./peerHandlers.ts";
import { peerSecret } from "./peerSecret.ts";
import type { PeerTls } from "./peerTls.ts";
import { connectTunnel } from "./tunnel/connectTunnel.ts";
import { peerTunnelHeaders } from "./tunnel/peerTunnelHeaders.ts";
import type { TunnelOptions } from "./tunnel/tunnelOptions.ts";

const unauthenticatedStatus = 401;
const maximumMessageBytes = 4 * 1024 * 1024;
const defaultCloseDeadlineMilliseconds = 2_000;

/** Options of a {@link PeerServer}. */
interface PeerServerOptions {
    /** Address to listen on, as host:port with an IP address as the host. Port 0 selects a free port. */
    address: string;
    /** Secret that all nodes share, or undefined if the network itself restricts access. */
    secret?: string;
    /** Handlers for the calls of peers. */
    handlers: PeerHandlers;
    /** How connections for tunnels of peers are opened. Without it, no tunnels are taken. */
    tunnels?: TunnelOptions;
    /** Certificates. Without them, calls are not encrypted. */
    tls?: PeerTls;
    log: EventLog;
}

/** The HTTP/2 server for calls of peers. */
export class PeerServer {
    private readonly server: http2.Http2Server | http2.Http2SecureServer;
    private readonly host: string;
    private port = 0;
    private readonly sessions = new Set<http2.ServerHttp2Session>();

    private constructor(options: PeerServerOptions, host: string) {
        this.host = host;
        this.server = createHttp2Server(options.tls, createListener(options));
        this.server.on("session", (session: http2.ServerHttp2Session) => {
            this.sessions.add(session);
            session.on("close", () => this.sessions.delete(session));
        });
    }

    /**
     * Starts listening.
     * @throws If listening on the address fails.
     */
    static async create(options: PeerServerOptions): Promise<PeerServer> {
        const { hostname, port } = new URL(`tcp://${options.address}`);
        const host = hostname.replace(/^\[|\]$/g, "");
        const server = new PeerServer(options, host);
        await new Promise<void>((resolve, reject) => {
            server.server.once("error", reject);
            server.server.listen(Number(port), host, resolve);
        });
        server.port = (server.server.address() as AddressInfo).port;
        return server;
    }

    /** Gets the address that the server listens on, as host:port. */
    getAddress(): string {
        return this.host.includes(":") ? `[${this.host}]:${this.port}` : `${this.host}:${this.port}`;
    }

    /**
     * Stops accepting connections and calls, and waits until the calls in flight have ended.
     * @param deadlineMilliseconds - Time after which the remaining calls are aborted. Default: 2000.
     */
    async close(deadlineMilliseconds: number = defaultCloseDeadlineMilliseconds): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        for (const session of this.sessions) {
            session.close();
        }
        const timer = setTimeout(() => this.destroySessions(), deadlineMilliseconds);
        await closed;
        clearTimeout(timer);
    }

    private destroySessions(): void {
        for (const session of this.sessions) {
            session.destroy();
        }
    }
}

type Listener = (request: http2.Http2ServerRequest, response: http2.Http2ServerResponse) => void;

function createHttp2Server(
    tls: PeerTls | undefined,
    listener: Listener,
): http2.Http2Server | http2.Http2SecureServer {
    if (tls === undefined) {
        return http2.createServer(listener);
    }
    const { certificate, key, authority } = tls;
    const options = { cert: certificate, key, ca: authority, requestCert: true, rejectUnauthorized: true };
    return http2.createSecureServer(options, listener);
}

/** Creates a listener that checks the secret before it reads a call. */
function createListener(options: PeerServerOptions): Listener {
    const serve = connectNodeAdapter({
        readMaxBytes: maximumMessageBytes,
        routes: (router: ConnectRouter) => {
            router.service(PeerService, { ...options.handlers });
        },
    });
    return (request, response) => {
        const received = request.headers[peerSecret.headerName];
        if (isAdmitted(received, options.secret)) {
            if (options.tunnels !== undefined && request.url === peerTunnelHeaders.path) {
                serveTunnel(request, options.tunnels);
                return;
            }
            serve(request, response);
            return;
        }
        options.log.write(events.peerRefused, { caller: request.socket.remoteAddress ?? "unknown" });
        refuse(response);
    };
}

function serveTunnel({ stream, headers }: http2.Http2ServerRequest, tunnels: TunnelOptions): void {
    stream.on("error", () => undefined);
    stream.respond();
    connectTunnel(stream, String(headers[peerTunnelHeaders.address] ?? ""), tunnels);
}

function isAdmitted(received: string | string[] | undefined, secret: string | undefined): boolean {
    return secret === undefined || typeof received === "string" && peerSecret.isEqual(received, secret);
}

function refuse(response: http2.Http2ServerResponse): void {
    response.writeHead(unauthenticatedStatus, { "content-type": "application/json" });
    const message = "The peer secret is missing or wrong; configure the same one on all nodes.";
    response.end(JSON.stringify({ code: "unauthenticated", message }));
}
