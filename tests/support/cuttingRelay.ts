import { type AddressInfo, createServer, type Server, Socket } from "node:net";

/**
 * A TCP relay on loopback whose connections can be cut or frozen. A frozen connection stays open and passes nothing on,
 * as where something between the two ends has lost track of it.
 */
export class CuttingRelay {
    private readonly server: Server;
    private readonly pairs = new Set<readonly [Socket, Socket]>();
    private isFreezingNew = false;
    private byteCount = 0;

    private constructor(targetPort: () => number) {
        this.server = createServer(client => this.forward(client, targetPort()));
    }

    /**
     * Starts a relay.
     * @param getTargetPort - Gets the loopback port to forward to, at each new connection.
     */
    static async create(getTargetPort: () => number): Promise<CuttingRelay> {
        const relay = new CuttingRelay(getTargetPort);
        await new Promise<void>(resolve => relay.server.listen(0, "127.0.0.1", resolve));
        return relay;
    }

    /** Gets the host:port of the relay. */
    getAddress(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    /** Gets the number of bytes passed on in both directions. */
    getByteCount(): number {
        return this.byteCount;
    }

    /** Gets the number of connections that are open. */
    getConnectionCount(): number {
        return this.pairs.size;
    }

    /** Closes the present connections; new ones work. */
    cut(): void {
        for (const [client, target] of this.pairs) {
            client.destroy();
            target.destroy();
        }
    }

    /** Freezes the present connections; new ones work. */
    freeze(): void {
        for (const [client, target] of this.pairs) {
            client.pause();
            target.pause();
        }
    }

    /** Freezes the present connections and all new ones. */
    freezeAll(): void {
        this.isFreezingNew = true;
        this.freeze();
    }

    /** Stops the relay. */
    async close(): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        this.cut();
        await closed;
    }

    private forward(client: Socket, targetPort: number): void {
        const target = new Socket();
        client.setNoDelay();
        target.setNoDelay();
        const pair = [client, target] as const;
        this.pairs.add(pair);
        this.link(client, target, pair);
        this.link(target, client, pair);
        target.connect(targetPort, "127.0.0.1");
        if (this.isFreezingNew) {
            client.pause();
            target.pause();
        }
    }

    private link(from: Socket, to: Socket, pair: readonly [Socket, Socket]): void {
        from.on("data", (data: Buffer) => {
            this.byteCount += data.length;
            to.write(data);
        });
        from.on("end", () => to.end());
        from.on("error", () => to.destroy());
        from.on("close", () => {
            to.destroy();
            this.pairs.delete(pair);
        });
    }
}
