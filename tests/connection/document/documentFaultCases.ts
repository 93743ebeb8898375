import type { Socket } from "node:net";
import type { RawEndpoint } from "../../../standins/network/rawEndpoint.ts";

/** Faults of a document service after which its call may have run. */
export const documentFaultCases: Readonly<Record<string, RawEndpoint["options"]>> = {
    "resets the connection before it reads the request": { onConnection: socket => socket.resetAndDestroy() },
    "resets the connection after it has read the request": { onRequest: socket => socket.resetAndDestroy() },
    "closes without an answer": { onRequest: socket => socket.end() },
    "stops responding after it has accepted the connection": {},
    "closes the connection within its answer": {
        onRequest: socket => socket.end("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\npart"),
    },
    "closes the connection within its chunked answer": {
        onRequest: socket => socket.end("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n"),
    },
    "stops sending within its answer": {
        onRequest: socket => socket.write("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\npart"),
    },
    "sends an endless answer": {
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
    "answers with an invalid status": {
        onRequest: socket => socket.end("HTTP/1.1 000 None\r\ncontent-length: 1\r\n\r\nx"),
    },
    "answers with a status beyond all that are valid": {
        onRequest: socket => socket.end("HTTP/1.1 600 Odd\r\ncontent-length: 1\r\n\r\nx"),
    },
    "switches to another protocol": {
        onRequest: socket => socket.end("HTTP/1.1 101 Switching\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n"),
    },
    "answers with too many headers": {
        onRequest: socket => socket.end(`HTTP/1.1 200 OK\r\n${"x-many: y\r\n".repeat(20_000)}\r\n`),
    },
};

/** Writes until the connection is closed, pausing while the buffer is full. */
function writeWithoutEnd(socket: Socket): void {
    const chunk = `10000\r\n${"x".repeat(0x10000)}\r\n`;
    const write = () => {
        while (!socket.destroyed && socket.write(chunk)) {
            // Writes until the buffer is full.
        }
    };
    socket.on("drain", write);
    write();
}
