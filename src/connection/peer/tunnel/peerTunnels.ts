import * as http2 from "node:http2";
import type { OpenTunnelOptions } from "../../upstream/path/openTunnelOptions.ts";
import { peerSecret } from "../peerSecret.ts";
import type { PeerTls } from "../peerTls.ts";
import { toSecureOptions } from "../toSecureOptions.ts";
import { awaitTunnel } from "./awaitTunnel.ts";
import { peerTunnelHeaders } from "./peerTunnelHeaders.ts";

/** Options of {@link PeerTunnels}. */
interface PeerTunnelsOptions {
    /** Secret that all nodes share. */
    secret: string;
    /** Certificates. Without them, tunnels are not encrypted. */
    tls?: PeerTls;
}

/** Opens tunnels to endpoints through the listeners that peers have for calls, over one HTTP/2 connection a peer. */
export class PeerTunnels {
    private readonly options: PeerTunnelsOptions;
    private readonly sessions = new Map<string, http2.ClientHttp2Session>();

    private constructor(options: PeerTunnelsOptions) {
        this.options = options;
    }

    /** Creates an instance without connections. */
    static create(options: PeerTunnelsOptions): PeerTunnels {
        return new PeerTunnels(options);
    }

    /**
     * Opens a connection to an endpoint through a peer.
     * @returns A function that cancels the attempt.
     */
    open(options: OpenTunnelOptions): () => void {
        const { peer, address, onDone } = options;
        const session = this.getSession(peer);
        const stream = session.request({
            [http2.constants.HTTP2_HEADER_METHOD]: http2.constants.HTTP2_METHOD_POST,
            [http2.constants.HTTP2_HEADER_PATH]: peerTunnelHeaders.path,
            [peerTunnelHeaders.address]: address,
            [peerSecret.headerName]: this.options.secret,
        }, { endStream: false });
        return awaitTunnel(stream, {
            ...options,
            onDone: result => {
                if (result.err && this.sessions.get(peer) === session) {
                    // The connection may be dead, so the next tunnel uses a new one.
                    this.sessions.delete(peer);
                    session.close();
                }
                onDone(result);
            },
        });
    }

    /** Closes all connections and tunnels. */
    close(): void {
        for (const session of this.sessions.values()) {
            session.destroy();
        }
        this.sessions.clear();
    }

    private getSession(peer: string): http2.ClientHttp2Session {
        const known = this.sessions.get(peer);
        if (known !== undefined && !known.closed && !known.destroyed) {
            return known;
        }
        const { tls } = this.options;
        const origin = `${tls === undefined ? "http" : "https"}://${peer}`;
        const session = http2.connect(origin, tls === undefined ? {} : toSecureOptions(tls));
        session.on("error", () => session.destroy());
        session.unref();
        this.sessions.set(peer, session);
        return session;
    }
}
