import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import type { Clock } from "../../../process/clock.ts";
import { parseAddress } from "../../../process/settings/parseAddress.ts";
import type { CreateSocket } from "../../upstream/path/createSocket.ts";
import { openDirect } from "../../upstream/path/openDirect.ts";
import { encodeTunnelFrame } from "./encodeTunnelFrame.ts";
import { TunnelFrameKind } from "./tunnelFrameKind.ts";

/** Options of a {@link TunnelServer}. */
interface TunnelServerOptions {
    /** Address to listen on, as host:port. */
    address: string;
    clock: Pick<Clock, "setTimer">;
    createSocket: CreateSocket;
    /** Gets why no tunnel to an address may be opened now; undefined if it may. */
    getRefusal(address: string): string | undefined;
    /** Called with the result of each connection to an endpoint; the failure is undefined if it was opened. */
    onConnected(address: string, failure: string | undefined): void;
    /** Called when the number of open tunnels has changed. */
    onCountChanged(count: number): void;
}

/** Shorter than the time that the peer waits, so that it learns the reason. */
const connectTimeoutMilliseconds = 150;
const requestTimeoutMilliseconds = 2_000;
/** Length of the longest address with its line feed. */
const maximumRequestBytes = 64;
/** Sockets that a node may use for the tunnels of its peers; each tunnel takes two. */
const maximumTunnels = 800;
const noBytes = Buffer.alloc(0);

/**
 * Connects peers to endpoints that they can't reach over their own links. A tunnel carries bytes only: all decisions on a request
 * stay with the peer. It always connects directly, so that no tunnel goes through two nodes.
 */
export class TunnelServer {
    private readonly options: TunnelServerOptions;
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();

    private constructor(options: TunnelServerOptions) {
        this.options = options;
        this.server = createServer({ noDelay: true }, socket => this.accept(socket));
    }

    /**
     * Starts listening.
     * @throws If listening on the address fails.
     */
    static async create(options: TunnelServerOptions): Promise<TunnelServer> {
        const created = new TunnelServer(options);
        await new Promise<void>((resolve, reject) => {
            created.server.once("error", reject);
            created.server.listen(parseAddress(options.address), resolve);
        });
        return created;
    }

    /** Gets the port that the server listens on. */
    getPort(): number {
        return (this.server.address() as AddressInfo).port;
    }

    /** Gets the number of peers' connections. */
    getCount(): number {
        return this.sockets.size;
    }

    /** Stops listening and closes all tunnels. */
    async close(): Promise<void> {
        await new Promise(resolve => {
            this.server.close(resolve);
            for (const socket of this.sockets) {
                socket.destroy();
            }
        });
    }

    private accept(socket: Socket): void {
        const { clock, onCountChanged } = this.options;
        if (this.sockets.size >= maximumTunnels) {
            socket.destroy();
            return;
        }
        this.sockets.add(socket);
        onCountChanged(this.sockets.size);
        const timer = clock.setTimer(requestTimeoutMilliseconds, () => socket.destroy());
        socket.once("close", () => {
            timer.cancel();
            this.sockets.delete(socket);
            onCountChanged(this.sockets.size);
        });
        socket.on("error", () => socket.destroy());
        let request = "";
        const readRequest = (chunk: Buffer) => {
            request += chunk.toString("latin1");
            if (request.endsWith("\n")) {
                timer.cancel();
                socket.off("data", readRequest);
                socket.pause();
                this.connect(socket, request.trim());
            }
            else if (request.length > maximumRequestBytes) {
                socket.destroy();
            }
        };
        socket.on("data", readRequest);
    }

    private connect(socket: Socket, address: string): void {
        const { clock, createSocket, getRefusal, onConnected } = this.options;
        const refusal = getRefusal(address);
        if (refusal !== undefined) {
            refuse(socket, refusal);
            return;
        }
        let cancelOpening = () => undefined as void;
        const handleClose = () => cancelOpening();
        socket.once("close", handleClose);
        cancelOpening = openDirect({
            address,
            timeoutMilliseconds: connectTimeoutMilliseconds,
            clock,
            createSocket,
            onDone: result => {
                socket.off("close", handleClose);
                onConnected(address, result.err ? result.val : undefined);
                if (result.err) {
                    refuse(socket, result.val);
                    return;
                }
                socket.write(encodeTunnelFrame({ kind: TunnelFrameKind.Opened, payload: noBytes }));
                join(socket, result.val);
            },
        });
    }
}

function refuse(socket: Socket, reason: string): void {
    socket.end(encodeTunnelFrame({ kind: TunnelFrameKind.Failed, payload: Buffer.from(reason) }));
}

/** Passes bytes between a peer and an endpoint, each as fast as the other takes them, until either connection ends. */
function join(peer: Socket, endpoint: Socket): void {
    endpoint.on("data", (chunk: Buffer) => {
        if (!peer.write(encodeTunnelFrame({ kind: TunnelFrameKind.Data, payload: chunk }))) {
            endpoint.pause();
        }
    });
    peer.on("drain", () => endpoint.resume());
    endpoint.once("end", () => peer.end(encodeTunnelFrame({ kind: TunnelFrameKind.End, payload: noBytes })));
    // A reset ends the tunnel without the frame for a regular end, so that the peer takes it as a failure.
    endpoint.once("error", () => peer.resetAndDestroy());
    endpoint.once("close", () => peer.destroySoon());
    peer.once("close", () => endpoint.destroy());
    peer.on("data", (chunk: Buffer) => {
        if (!endpoint.write(chunk)) {
            peer.pause();
        }
    });
    endpoint.on("drain", () => peer.resume());
    peer.resume();
}
