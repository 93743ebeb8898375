import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { AnswerSplitter } from "./answerSplitter.ts";
import type { CallRecord } from "./callRecord.ts";

/** A request whose answer has not ended. */
interface WaitingCall {
    record: CallRecord;
    resolve(): void;
}

const host = "127.0.0.1";

/** A kept connection of a caller to a node, which sends requests also before earlier answers have ended. */
export class CallConnection {
    private readonly socket: Socket;
    private readonly waiting: WaitingCall[] = [];
    private readonly splitter: AnswerSplitter;
    private isLast = false;
    private reason = "The node closed the connection.";

    private constructor(socket: Socket) {
        this.socket = socket;
        this.splitter = AnswerSplitter.create(() => this.getReceiver());
        socket.setEncoding("latin1");
        socket.on("data", bytes => this.handleBytes(String(bytes)));
        socket.on("error", error => {
            this.reason = error.message;
        });
        socket.on("end", () => this.splitter.end());
        socket.on("close", () => this.endAll());
    }

    /** Opens a connection. Resolves to undefined if the port refuses it. */
    static async create(port: number): Promise<CallConnection | undefined> {
        const socket = connect(port, host);
        try {
            await once(socket, "connect");
        }
        catch {
            return undefined;
        }
        return new CallConnection(socket);
    }

    /** Gets if requests may still be sent: the connection is open, and no answer has said that it closes. */
    isOpen(): boolean {
        return !this.isLast && this.socket.writable;
    }

    /** Sends a request, and sets in its record what comes back. Resolves once its answer or the connection has ended. */
    send(record: CallRecord, headers: Readonly<Record<string, string>>): Promise<void> {
        const lines = Object.entries({ ...headers, "content-length": String(record.body.length) })
            .map(([name, value]) => `${name}: ${value}\r\n`);
        this.socket.write(`${record.method} ${record.path} HTTP/1.1\r\n${lines.join("")}\r\n${record.body}`, "latin1");
        return new Promise(resolve => this.waiting.push({ record, resolve }));
    }

    /** Closes the connection. */
    close(): void {
        this.socket.destroy();
    }

    private handleBytes(bytes: string): void {
        if (!this.splitter.add(bytes)) {
            this.reason = "Bytes came that belong to no request.";
            this.close();
        }
    }

    private getReceiver(): ReturnType<Parameters<typeof AnswerSplitter.create>[0]> {
        const [call] = this.waiting;
        return call && {
            onHead: (status, headers) => {
                call.record.status = status;
                call.record.signature = headers.get("response-seal");
                this.isLast ||= headers.get("connection")?.toLowerCase() === "close";
            },
            onBody: bytes => {
                call.record.text += bytes;
            },
            onComplete: () => {
                call.record.isComplete = true;
                this.waiting.shift();
                call.resolve();
            },
        };
    }

    private endAll(): void {
        for (const { record, resolve } of this.waiting.splice(0)) {
            record.reason = this.reason;
            resolve();
        }
    }
}
