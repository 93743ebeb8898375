import type { Socket } from "node:net";
import type { buildConnector } from "undici";
import { createConnectError } from "./createConnectError.ts";
import type { EndpointConnector } from "./endpointConnector.ts";

/**
 * Creates the function with which the HTTP client opens its connections to one endpoint.
 * @param connector - Opens them directly or through peers.
 * @param address - host:port of the endpoint.
 */
export function createHttpConnector(
    connector: Pick<EndpointConnector, "open">,
    address: string,
): buildConnector.connector {
    return (_options, callback) =>
        connector.open(address, result => {
            if (result.ok) {
                callback(null, result.val.socket as Socket);
                return;
            }
            callback(createConnectError(result.val), null);
        });
}
