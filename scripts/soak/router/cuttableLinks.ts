import { readFileSync } from "node:fs";
import { Socket } from "node:net";
import { getLinksFile } from "./getLinksFile.ts";
import type { LinkState } from "./linkState.ts";

// Loaded into a node's process before the program, so that its links to the endpoints can be cut while other nodes keep theirs. A
// proxy can't do this: it would accept connections that a partition does not let open.

/** The part of a socket's handle that starts to read from the network. */
interface ReadHandle {
    readStart(): number;
    readStop(): number;
}

const pollMilliseconds = 20;
/** A port of the loopback address on which nothing listens. */
const closedPort = 1;

const file = getLinksFile(process.argv[process.argv.indexOf("--settings") + 1]!);
const sockets = new Set<Socket>();
const connect = Socket.prototype.connect as (this: Socket, ...parts: unknown[]) => Socket;
let state = read();

function read(): LinkState {
    return JSON.parse(readFileSync(file, "utf8")) as LinkState;
}

function getHandle(socket: Socket): ReadHandle | undefined {
    return (socket as unknown as { _handle?: ReadHandle; })._handle;
}

function silence(socket: Socket): void {
    const handle = getHandle(socket);
    if (handle !== undefined) {
        socket.cork();
        handle.readStop();
        handle.readStart = () => 0;
    }
}

function restore(socket: Socket): void {
    const handle = getHandle(socket);
    if (handle !== undefined && Object.hasOwn(handle, "readStart")) {
        Reflect.deleteProperty(handle, "readStart");
        handle.readStart();
        socket.uncork();
    }
}

function applyState(): void {
    const earlier = state.cut;
    state = read();
    if (state.cut === earlier) {
        return;
    }
    for (const socket of sockets) {
        if (state.cut === "silent") {
            silence(socket);
        }
        else if (state.cut === "reset") {
            socket.resetAndDestroy();
        }
        else {
            restore(socket);
        }
    }
}

Socket.prototype.connect = function(this: Socket, ...parts: unknown[]): Socket {
    const [first] = parts;
    const options = (Array.isArray(first) ? first[0] : first) as { port?: number; };
    if (!state.ports.includes(options.port ?? 0)) {
        return connect.apply(this, parts);
    }
    if (state.cut === "silent") {
        return this;
    }
    if (state.cut !== "none") {
        options.port = closedPort;
        return connect.apply(this, parts);
    }
    sockets.add(this);
    this.once("close", () => sockets.delete(this));
    return connect.apply(this, parts);
} as typeof Socket.prototype.connect;

setInterval(applyState, pollMilliseconds).unref();
