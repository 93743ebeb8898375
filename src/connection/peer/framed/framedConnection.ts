import { Code, ConnectError } from "@connectrpc/connect";
import { connect, type Socket } from "node:net";
import type { Clock, TimerHandle } from "../../../process/clock.ts";
import type { Address } from "../../../process/settings/address.ts";
import { encodeFrame } from "./encodeFrame.ts";
import type { Frame } from "./frame.ts";
import { FrameKind } from "./frameKind.ts";
import { FrameReader } from "./frameReader.ts";

/** Options of a {@link FramedConnection}. */
interface FramedConnectionOptions {
    /** Of the peer. */
    address: Address;
    clock: Pick<Clock, "setTimer">;
    connectTimeoutMilliseconds: number;
    /** A connection that is unused for longer is closed, in milliseconds. */
    idleTimeoutMilliseconds: number;
}

/** A call whose answer is still to come. */
interface OpenCall {
    resolve(payload: Uint8Array): void;
    reject(error: ConnectError): void;
    timer: TimerHandle;
}

/** Calls to a peer over one connection, which opens with its first call. */
export class FramedConnection {
    private readonly options: FramedConnectionOptions;
    private readonly calls = new Map<number, OpenCall>();
    private socket: Socket | undefined;
    private lastCallId = 0;
    private isRetired = false;

    private constructor(options: FramedConnectionOptions) {
        this.options = options;
    }

    /** Creates a connection that is not open yet. */
    static create(options: FramedConnectionOptions): FramedConnection {
        return new FramedConnection(options);
    }

    /** Gets the number of calls under way. */
    getCallCount(): number {
        return this.calls.size;
    }

    /**
     * Calls a method of the peer.
     * @param method - Its name.
     * @param payload - The encoded input.
     * @param timeoutMilliseconds - Time for the whole call.
     * @returns The encoded output.
     * @throws ConnectError where there is none.
     */
    call(method: string, payload: Uint8Array, timeoutMilliseconds: number): Promise<Uint8Array> {
        return new Promise((resolve, reject) => {
            const callId = this.lastCallId += 1;
            const timer = this.options.clock.setTimer(timeoutMilliseconds, () => {
                this.settle(callId)?.reject(new ConnectError("No answer in time.", Code.DeadlineExceeded));
            });
            this.calls.set(callId, { resolve, reject, timer });
            this.socket ??= this.open();
            this.socket.write(encodeFrame({ callId, kind: FrameKind.Request, method, payload }));
        });
    }

    /** Closes the connection once the calls under way have ended; each has a deadline. */
    retire(): void {
        this.isRetired = true;
        this.closeIfDone();
    }

    /** Closes the connection and ends its calls. */
    close(): void {
        this.socket?.destroy();
        this.fail("The connection was closed.");
    }

    private open(): Socket {
        const { address, clock, connectTimeoutMilliseconds, idleTimeoutMilliseconds } = this.options;
        const { host, port } = address;
        const socket = connect({ host, port, noDelay: true });
        const reader = FrameReader.create();
        const connecting = clock.setTimer(connectTimeoutMilliseconds, () => {
            socket.destroy(new Error("The connection did not open in time."));
        });
        let reason = "The connection was closed.";
        socket.once("connect", () => connecting.cancel());
        socket.setTimeout(idleTimeoutMilliseconds, () => socket.destroy());
        socket.on("error", error => reason = error.message);
        socket.once("close", () => {
            connecting.cancel();
            if (this.socket === socket) {
                this.socket = undefined;
                this.fail(reason);
            }
        });
        socket.on("data", (chunk: Buffer) => {
            const frames = reader.push(chunk);
            if (frames.err) {
                socket.destroy(new Error(frames.val));
                return;
            }
            for (const frame of frames.val) {
                this.take(frame);
            }
        });
        return socket;
    }

    private take({ callId, kind, payload }: Frame): void {
        const call = this.settle(callId);
        if (kind === FrameKind.Answer) {
            call?.resolve(payload);
        }
        else {
            call?.reject(new ConnectError(Buffer.from(payload).toString("utf8"), Code.Internal));
        }
    }

    /** Takes a call out that has ended; undefined where it ended before, as one whose answer comes late. */
    private settle(callId: number): OpenCall | undefined {
        const call = this.calls.get(callId);
        call?.timer.cancel();
        this.calls.delete(callId);
        this.closeIfDone();
        return call;
    }

    private fail(reason: string): void {
        for (const callId of [...this.calls.keys()]) {
            this.settle(callId)?.reject(new ConnectError(reason, Code.Unavailable));
        }
    }

    private closeIfDone(): void {
        if (this.isRetired && this.calls.size === 0) {
            this.socket?.destroy();
        }
    }
}
