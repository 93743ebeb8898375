import type { Socket } from "node:net";
import type { RawEndpoint } from "./rawEndpoint.ts";

/** Ways in which a document service fails so that its call may have run. */
export const documentFaultCases: Readonly<Record<string, RawEndpoint["options"]>> = {
    "resets before it has read": { onConnection: socket => socket.resetAndDestroy() },
    "resets after it has read": { onRequest: socket => socket.resetAndDestroy() },
    "closes without an answer": { onRequest: socket => socket.end() },
    "falls silent after it has accepted": {},
    "cuts its answer off": {
        onRequest: socket => socket.end("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\npart"),
    },
    "cuts its chunked answer off": {
        onRequest: socket => socket.end("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n"),
    },
    "falls silent in its answer": {
        onRequest: socket => socket.write("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\npart"),
    },
    "answers without end": {
        onRequest: socket => {
            socket.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
            writeWithoutEnd(socket);
        },
    },
    "announces an answer that is too large": {
        onRequest: socket => {
            socket.write("HTTP/1.1 200 OK\r\ncontent-length: 100000000000\r\n\r\n");
            writeWithoutEnd(socket);
        },
    },
    "answers with bytes that are not HTTP": { onRequest: socket => socket.end("\u0000\u0001garbage\r\n\r\n") },
    "answers with a status that there is not": {
        onRequest: socket => socket.end("HTTP/1.1 000 None\r\ncontent-length: 1\r\n\r\nx"),
    },
    "wants another protocol": {
        onRequest: socket => socket.end("HTTP/1.1 101 Switching\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n"),
    },
    "answers with too many headers": {
        onRequest: socket => socket.end(`HTTP/1.1 200 OK\r\n${"x-many: y\r\n".repeat(20_000)}\r\n`),
    },
};

/** Writes as long as somebody reads. */
function writeWithoutEnd(socket: Socket): void {
    const chunk = `10000\r\n${"x".repeat(0x10000)}\r\n`;
    const write = () => {
        while (!socket.destroyed && socket.write(chunk)) {
            // Goes on until the buffer is full.
        }
    };
    socket.on("drain", write);
    write();
}
