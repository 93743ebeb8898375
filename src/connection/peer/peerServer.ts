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

const unauthenticatedStatus = 401;
const maximumMessageBytes = 4 * 1024 * 1024;
const defaultCloseMilliseconds = 2_000;

/** Options of a peer listener. */
interface PeerServerOptions {
    /** host:port to listen at, the host by IP number; port 0 takes a free one. */
    address: string;
    /** Secret that all nodes share; undefined where the network itself keeps others out. */
    secret?: string;
    /** Answers the calls of a node's peers. */
    handlers: PeerHandlers;
    /** Certificates; without them calls travel in clear text. */
    tls?: PeerTls;
    log: EventLog;
}

/** The listener for the calls of peers. */
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
     * @throws Where the address cannot be listened at.
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

    /** Gets the host:port that the listener has. */
    getAddress(): string {
        return this.host.includes(":") ? `[${this.host}]:${this.port}` : `${this.host}:${this.port}`;
    }

    /**
     * Takes no new connections or calls and lets the calls under way finish.
     * @param deadlineMilliseconds - After this time in milliseconds the remaining calls are cut off. Default 2000.
     */
    async close(deadlineMilliseconds: number = defaultCloseMilliseconds): Promise<void> {
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

/** Checks the secret before anything of the call is read. */
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
            serve(request, response);
            return;
        }
        options.log.write(events.peerRefused, { caller: request.socket.remoteAddress ?? "unknown" });
        refuse(response);
    };
}

function isAdmitted(received: string | string[] | undefined, secret: string | undefined): boolean {
    return secret === undefined || typeof received === "string" && peerSecret.isEqual(received, secret);
}

function refuse(response: http2.Http2ServerResponse): void {
    response.writeHead(unauthenticatedStatus, { "content-type": "application/json" });
    const message = "The peer secret is missing or wrong; give all nodes the same one.";
    response.end(JSON.stringify({ code: "unauthenticated", message }));
}
