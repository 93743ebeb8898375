import { connect, type Socket } from "node:net";
import type { Address } from "../../../process/settings/address.ts";

/** Delay before the first keep-alive probe. Node.js sends the next ones each second and gives up after ten. */
const keepAliveDelayMilliseconds = 1_000;

/** Creates a TCP socket that is connecting to an address. */
export function createTcpSocket({ host, port }: Address): Socket {
    return connect({ host, port, noDelay: true, keepAlive: true, keepAliveInitialDelay: keepAliveDelayMilliseconds });
}
