import type { EndpointAddress } from "../../connection/endpoint/endpointAddress.ts";
import type { UpstreamExchange } from "../../connection/upstream/upstreamExchange.ts";
import type { UpstreamListener } from "../../connection/upstream/upstreamListener.ts";
import type { UpstreamRequest } from "../../connection/upstream/upstreamRequest.ts";

/** Connection pools for relayed requests. */
export interface RelayTransport {
    /** Gets the connection pool of an address (host:port). */
    getPool(address: EndpointAddress): {
        /** Checks if a connection is open and idle. */
        hasIdle(): boolean;
        /** Checks if bytes were received from the address since the given monotonic time in milliseconds. */
        hasBytesSince(time: number): boolean;
        /** Sends a caller's request once all pending input of the node is read, unless it is aborted by then. It is created when sent. */
        sendForCaller(
            createRequest: () => UpstreamRequest,
            listener: UpstreamListener,
            maximumIdleMilliseconds?: number,
        ): UpstreamExchange;
    };
}
