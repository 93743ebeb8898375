import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { waitUntil } from "../../support/waitUntil.ts";

/** A caller that sends raw bytes over a socket and collects the received text. */
export class RawCaller {
    readonly socket: Socket;
    private received = "";
    private isClosed = false;

    private constructor(socket: Socket) {
        this.socket = socket;
        socket.setEncoding("latin1");
        socket.on("data", text => {
            this.received += String(text);
        });
        socket.on("error", () => undefined);
        socket.on("close", () => {
            this.isClosed = true;
        });
    }

    /** Opens a connection to host:port. */
    static async connect(address: string): Promise<RawCaller> {
        const [host, port] = address.split(":");
        const socket = connect({ host, port: Number(port) });
        const caller = new RawCaller(socket);
        await once(socket, "connect");
        return caller;
    }

    /** Sends bytes. */
    write(bytes: string | Buffer): void {
        this.socket.write(bytes);
    }

    /** Gets the text received so far. */
    getReceived(): string {
        return this.received;
    }

    /** Waits until the connection is closed. Returns the received text. */
    async readToEnd(): Promise<string> {
        await waitUntil("the connection is closed", () => this.isClosed);
        return this.received;
    }

    /** Waits until a text is received. */
    async waitFor(text: string): Promise<void> {
        await waitUntil(`${JSON.stringify(text)} is received`, () => this.received.includes(text));
    }
}
