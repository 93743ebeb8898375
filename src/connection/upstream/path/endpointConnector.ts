import type { Clock } from "../../../process/clock.ts";
import { Ok, type Result } from "../../../result.ts";
import type { CreateSocket } from "./createSocket.ts";
import type { EndpointPaths } from "./endpointPaths.ts";
import { openDirect } from "./openDirect.ts";
import type { OpenedSocket } from "./openedSocket.ts";

/** Options of an {@link EndpointConnector}. */
interface EndpointConnectorOptions {
    clock: Pick<Clock, "setTimer" | "getMonotonicTime">;
    paths: EndpointPaths;
    createSocket: CreateSocket;
}

/**
 * Two round trips between data centres and the acceptance of the connection take a few milliseconds. The rest allows
 * for the retransmission of a lost packet.
 */
const connectTimeoutMilliseconds = 700;

/** Opens connections to endpoints and records which endpoints are reachable. */
export class EndpointConnector {
    private readonly options: EndpointConnectorOptions;

    private constructor(options: EndpointConnectorOptions) {
        this.options = options;
    }

    /** Creates a connector. */
    static create(options: EndpointConnectorOptions): EndpointConnector {
        return new EndpointConnector(options);
    }

    /**
     * Opens a connection to an endpoint.
     * @param address - host:port of the endpoint.
     * @param onDone - Called once, with the connection or the reason for the failure.
     */
    open(address: string, onDone: (result: Result<OpenedSocket, string>) => void): void {
        const { clock, paths, createSocket } = this.options;
        openDirect({
            address,
            timeoutMilliseconds: connectTimeoutMilliseconds,
            clock,
            createSocket,
            onDone: result => {
                const now = clock.getMonotonicTime();
                if (result.err) {
                    paths.recordFailed(address, result.val, now);
                    onDone(result);
                    return;
                }
                paths.recordOpened(address, now);
                onDone(Ok({ socket: result.val, peer: undefined }));
            },
        });
    }
}
