import type { Socket } from "node:net";
import type { Clock } from "../../../process/clock.ts";
import { parseAddress } from "../../../process/settings/parseAddress.ts";
import { Err, Ok, type Result } from "../../../result.ts";
import type { CreateSocket } from "./createSocket.ts";

/** Options of {@link openDirect}. */
interface OpenDirectOptions {
    /** host:port to connect to. */
    address: string;
    timeoutMilliseconds: number;
    clock: Pick<Clock, "setTimer">;
    createSocket: CreateSocket;
    /** Called once, with the connected socket or the reason for the failure. Not called after a cancellation. */
    onDone(result: Result<Socket, string>): void;
}

/**
 * Opens a TCP connection.
 * @returns A function that cancels the attempt.
 */
export function openDirect(
    { address, timeoutMilliseconds, clock, createSocket, onDone }: OpenDirectOptions,
): () => void {
    const target = parseAddress(address);
    if (target === undefined) {
        onDone(Err(`${address} is not a valid address.`));
        return () => undefined;
    }
    const socket = createSocket(target);
    const finish = (result: Result<Socket, string>) => {
        timer.cancel();
        socket.off("connect", handleConnect);
        socket.off("error", handleError);
        if (result.err) {
            socket.on("error", () => undefined);
            socket.destroy();
        }
        onDone(result);
    };
    const handleConnect = () => finish(Ok(socket));
    const handleError = (error: Error) => finish(Err(error.message));
    const timer = clock.setTimer(
        timeoutMilliseconds,
        () => finish(Err(`${address} accepted no connection within ${timeoutMilliseconds} ms.`)),
    );
    socket.once("connect", handleConnect);
    socket.once("error", handleError);
    return () => {
        timer.cancel();
        socket.off("connect", handleConnect);
        socket.on("error", () => undefined);
        socket.destroy();
    };
}
