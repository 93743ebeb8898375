import type { UpstreamExchange } from "../../connection/upstream/upstreamExchange.ts";
import type { UpstreamListener } from "../../connection/upstream/upstreamListener.ts";
import type { UpstreamRequest } from "../../connection/upstream/upstreamRequest.ts";

/** Connections to endpoints, as far as relayed requests need them. */
export interface RelayTransport {
    /** Gets the connections to an address, host:port. */
    getPool(address: string): {
        /** Whether a connection is open and free. */
        hasIdle(): boolean;
        /** Sends a caller's request, created as it goes, unless it is given up until all that has come to the node is read. */
        sendForCaller(
            createRequest: () => UpstreamRequest,
            listener: UpstreamListener,
            maximumIdleMilliseconds?: number,
        ): UpstreamExchange;
    };
}
