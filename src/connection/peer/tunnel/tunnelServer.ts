import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { parseAddress } from "../../../process/settings/parseAddress.ts";
import { closeServer } from "../../closeServer.ts";
import { connectTunnel } from "./connectTunnel.ts";
import type { TunnelOptions } from "./tunnelOptions.ts";

/** Options of a {@link TunnelServer}. */
interface TunnelServerOptions extends TunnelOptions {
    /** Address to listen on, as host:port. */
    address: string;
    /** Called when the number of open tunnels has changed. */
    onCountChanged(count: number): void;
}

const requestTimeoutMilliseconds = 2_000;
/** Length of the longest address with its line feed. */
const maximumRequestBytes = 64;
/** Sockets that a node may use for the tunnels of its peers; each tunnel takes two. */
const maximumTunnels = 800;

/** The listener for tunnels of peers to endpoints. */
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
    close(): Promise<void> {
        return closeServer(this.server, this.sockets);
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
                connectTunnel(socket, request.trim(), this.options);
            }
            else if (request.length > maximumRequestBytes) {
                socket.destroy();
            }
        };
        socket.on("data", readRequest);
    }
}
