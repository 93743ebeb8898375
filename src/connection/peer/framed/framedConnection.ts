import { Code, ConnectError } from "@connectrpc/connect";
import { connect, type Socket } from "node:net";
import type { Clock, TimerHandle } from "../../../process/clock.ts";
import { ProcessorAccount } from "../../../process/loop/processorAccount.ts";
import { ProcessorCause } from "../../../process/loop/processorCause.ts";
import type { Address } from "../../../process/settings/address.ts";
import { encodeFrame } from "./encodeFrame.ts";
import type { Frame } from "./frame.ts";
import { FrameKind } from "./frameKind.ts";
import { frameLayout } from "./frameLayout.ts";
import { FrameReader } from "./frameReader.ts";

/** Options of a {@link FramedConnection}. */
interface FramedConnectionOptions {
    /** Address of the peer. */
    address: Address;
    clock: Pick<Clock, "setTimer">;
    connectTimeoutMilliseconds: number;
    /** A connection that was idle for longer is closed. */
    idleTimeoutMilliseconds: number;
}

/** A call without an answer yet. */
interface PendingCall {
    resolve(payload: Uint8Array): void;
    reject(error: ConnectError): void;
    timer: TimerHandle;
}

/** Size of the frames without a pending call, such as late answers, above which the peer is taken to send nonsense. */
const maximumUnexpectedBytes = frameLayout.maximumBytes;

/** A framed connection to a peer. It opens with its first call. */
export class FramedConnection {
    private readonly options: FramedConnectionOptions;
    private readonly calls = new Map<number, PendingCall>();
    private socket: Socket | undefined;
    private lastCallId = 0;
    private isRetired = false;
    /** Size of the frames without a pending call since the last answer to one, in bytes. */
    private unexpectedBytes = 0;

    private constructor(options: FramedConnectionOptions) {
        this.options = options;
    }

    /** Creates a connection. It opens with its first call. */
    static create(options: FramedConnectionOptions): FramedConnection {
        return new FramedConnection(options);
    }

    /** Gets the number of calls in flight. */
    getCallCount(): number {
        return this.calls.size;
    }

    /**
     * Calls a method of the peer.
     * @param method - Name of the method.
     * @param payload - The encoded input.
     * @param timeoutMilliseconds - Time limit for the complete call.
     * @returns The encoded output.
     * @throws ConnectError if the call fails.
     */
    call(method: string, payload: Uint8Array, timeoutMilliseconds: number): Promise<Uint8Array> {
        return new Promise((resolve, reject) => {
            const callId = this.lastCallId += 1;
            const timer = this.options.clock.setTimer(timeoutMilliseconds, () => {
                this.remove(callId)?.reject(new ConnectError("The call exceeded its deadline.", Code.DeadlineExceeded));
            });
            this.calls.set(callId, { resolve, reject, timer });
            this.socket ??= this.open();
            this.socket.write(encodeFrame({ callId, kind: FrameKind.Request, method, payload }));
        });
    }

    /** Closes the connection after the calls in flight have ended. Each of them has a deadline. */
    retire(): void {
        this.isRetired = true;
        this.closeIfDone();
    }

    /** Closes the connection and aborts its calls. */
    close(): void {
        this.socket?.destroy();
        this.failAll("The connection was closed.");
    }

    private open(): Socket {
        const { address, clock, connectTimeoutMilliseconds, idleTimeoutMilliseconds } = this.options;
        const { host, port } = address;
        const socket = connect({ host, port, noDelay: true });
        const reader = FrameReader.create();
        const connectTimer = clock.setTimer(connectTimeoutMilliseconds, () => {
            socket.destroy(new Error("The connection did not open in time."));
        });
        let reason = "The connection was closed.";
        socket.once("connect", () => connectTimer.cancel());
        socket.setTimeout(idleTimeoutMilliseconds, () => socket.destroy());
        socket.on("error", error => reason = error.message);
        socket.once("close", () => {
            connectTimer.cancel();
            if (this.socket === socket) {
                this.socket = undefined;
                this.unexpectedBytes = 0;
                this.failAll(reason);
            }
        });
        socket.on("data", (chunk: Buffer) => {
            ProcessorAccount.ofProcess.runPart(
                ProcessorCause.PeerDecode,
                () => this.handleData(socket, reader, chunk),
            );
        });
        return socket;
    }

    private handleData(socket: Socket, reader: FrameReader, chunk: Buffer): void {
        const frames = reader.push(chunk);
        if (frames.err) {
            socket.destroy(new Error(frames.val));
            return;
        }
        for (const frame of frames.val) {
            this.handleFrame(frame);
        }
        if (this.unexpectedBytes > maximumUnexpectedBytes) {
            socket.destroy(new Error(`More than ${maximumUnexpectedBytes} bytes came that answer no call.`));
        }
    }

    private handleFrame({ callId, kind, payload }: Frame): void {
        const call = this.remove(callId);
        const frameBytes = frameLayout.methodOffset + payload.length;
        this.unexpectedBytes = call === undefined ? this.unexpectedBytes + frameBytes : 0;
        if (kind === FrameKind.Answer) {
            call?.resolve(payload);
        }
        else {
            call?.reject(new ConnectError(Buffer.from(payload).toString("utf8"), Code.Internal));
        }
    }

    /** Removes and returns a call that has ended. Returns undefined if it ended before, as with a late answer. */
    private remove(callId: number): PendingCall | undefined {
        const call = this.calls.get(callId);
        call?.timer.cancel();
        this.calls.delete(callId);
        this.closeIfDone();
        return call;
    }

    private failAll(reason: string): void {
        for (const callId of [...this.calls.keys()]) {
            this.remove(callId)?.reject(new ConnectError(reason, Code.Unavailable));
        }
    }

    private closeIfDone(): void {
        if (this.isRetired && this.calls.size === 0) {
            this.socket?.destroy();
        }
    }
}
