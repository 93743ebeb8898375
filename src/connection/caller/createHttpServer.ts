import { createServer, type RequestListener, type Server } from "node:http";
import { createServer as createTlsServer } from "node:https";
import { CallerRequest } from "./callerRequest.ts";
import type { CallerServerOptions } from "./callerServerOptions.ts";
import { maximumHeaderBytes } from "./maximumHeaderBytes.ts";

/** Maximum interval at which Node.js checks for timed out requests, which limits how late a timeout is detected. */
const maximumCheckIntervalMilliseconds = 1_000;
const checksPerTimeout = 4;
/**
 * Longer than the idle timeout of common load balancers (60 s), so that the balancer closes idle connections first. A
 * request that arrives while this server closes its connection would be reset.
 */
const keepAliveMilliseconds = 75_000;

/**
 * Creates the HTTP server for callers, with its limits.
 * @param options - Certificates and limits.
 * @param onRequest - Called for each request, including those that wait for permission to send the body
 * (`Expect: 100-continue`).
 */
export function createHttpServer(
    options: Pick<CallerServerOptions, "tls"> & {
        limits: Omit<CallerServerOptions["limits"], "maximumHeldBytes" | "maximumRequestsPerConnection">;
    },
    onRequest: RequestListener,
): Server {
    const { limits, tls } = options;
    const { bodyTimeoutMilliseconds, maximumConnections } = limits;
    const headersTimeout = Math.min(limits.headerTimeoutMilliseconds, bodyTimeoutMilliseconds);
    const serverOptions = {
        IncomingMessage: CallerRequest,
        maxHeaderSize: maximumHeaderBytes,
        headersTimeout,
        requestTimeout: bodyTimeoutMilliseconds,
        keepAliveTimeout: keepAliveMilliseconds,
        connectionsCheckingInterval: Math.min(
            maximumCheckIntervalMilliseconds,
            Math.ceil(headersTimeout / checksPerTimeout),
        ),
    };
    const server = tls === undefined
        ? createServer(serverOptions, onRequest)
        : createTlsServer({ ...serverOptions, cert: tls.certificate, key: tls.key }, onRequest);
    // One more than the maximum is accepted, so that an idle connection can be closed for it.
    server.maxConnections = maximumConnections + 1;
    // The size of the headers is already limited. With a limit of their number, Node.js would silently drop further
    // headers.
    server.maxHeadersCount = 0;
    server.on("checkContinue", onRequest);
    return server;
}
