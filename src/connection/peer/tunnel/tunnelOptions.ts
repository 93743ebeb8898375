import type { Clock } from "../../../process/clock.ts";
import type { CreateSocket } from "../../upstream/path/createSocket.ts";

/** How a node opens the connections of its peers' tunnels. */
export interface TunnelOptions {
    clock: Pick<Clock, "setTimer">;
    createSocket: CreateSocket;
    /** Gets why no tunnel to an address may be opened now; undefined if it may. */
    getRefusal(address: string): string | undefined;
    /** Called with the result of each connection to an endpoint; the failure is undefined if it was opened. */
    onConnected(address: string, failure: string | undefined): void;
}
