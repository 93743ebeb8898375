import type { buildConnector } from "undici";

/** What is needed of a socket to bound what it receives. */
interface MeasuredSocket {
    readonly bytesRead: number;
    readonly bytesWritten: number;
    on(event: "readable", listener: () => void): unknown;
    destroy(error: Error): unknown;
}

/**
 * Wraps a connector so that a connection is closed once it has received more bytes than a response may have, with its head, since the
 * last byte of a request was written. For HTTP/1.1 connections without pipelining, of which the HTTP client bounds header fields alone.
 * @param connect - Opens the connections.
 * @param maximumBytes - Maximum size of a response.
 */
export function boundResponses(connect: buildConnector.connector, maximumBytes: number): buildConnector.connector {
    return (options, callback) =>
        connect(options, (...result) => {
            const [error, socket] = result;
            // The HTTP client must have its listener first, since a second one gets no earlier bytes.
            callback(...result);
            if (error === null) {
                watch(socket, maximumBytes);
            }
        });
}

function watch(socket: MeasuredSocket, maximumBytes: number): void {
    let bytesWritten = socket.bytesWritten;
    let bytesBefore = socket.bytesRead;
    socket.on("readable", () => {
        if (socket.bytesWritten !== bytesWritten) {
            bytesWritten = socket.bytesWritten;
            bytesBefore = socket.bytesRead;
        }
        if (socket.bytesRead - bytesBefore > maximumBytes) {
            socket.destroy(new Error(`The response is longer than ${maximumBytes} bytes.`));
        }
    });
}
