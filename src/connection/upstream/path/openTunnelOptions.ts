import type { Clock } from "../../../process/clock.ts";
import type { Result } from "../../../result.ts";
import type { TunnelFailure } from "../../peer/tunnel/tunnelFailure.ts";
import type { ReceivingSocket } from "./receivingSocket.ts";

/** Options of {@link OpenTunnel}. */
export interface OpenTunnelOptions {
    /** host:port of the peer's listener for tunnels. */
    peer: string;
    /** host:port of the endpoint. */
    address: string;
    timeoutMilliseconds: number;
    clock: Pick<Clock, "setTimer">;
    /** Called once, with the open tunnel or the reason for the failure. Not called after a cancellation. */
    onDone(result: Result<ReceivingSocket, TunnelFailure>): void;
}
