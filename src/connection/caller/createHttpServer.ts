import { createServer, type RequestListener, type Server } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { CallerServerOptions } from "./callerServerOptions.ts";

const maximumHeaderBytes = 32 * 1024;
/** Node.js looks for requests that are late at this interval, so that none is late for much longer. */
const maximumCheckMilliseconds = 1_000;
const checksOfTimeout = 4;
/**
 * Idle connections outlive those of common balancers (60 s), so that the balancer closes them first: a request that meets a
 * connection that closes here is reset.
 */
const keepAliveMilliseconds = 75_000;

/**
 * Creates the HTTP server of the callers, with all its limits.
 * @param options - Listener, certificates and limits.
 * @param onRequest - Takes each request, also those that wait for leave to send their bodies.
 */
export function createHttpServer(
    options: Pick<CallerServerOptions, "limits" | "tls">,
    onRequest: RequestListener,
): Server {
    const { limits, tls } = options;
    const { bodyTimeoutMilliseconds, maximumConnections } = limits;
    const headersTimeout = Math.min(limits.headerTimeoutMilliseconds, bodyTimeoutMilliseconds);
    const serverOptions = {
        maxHeaderSize: maximumHeaderBytes,
        headersTimeout,
        requestTimeout: bodyTimeoutMilliseconds,
        keepAliveTimeout: keepAliveMilliseconds,
        connectionsCheckingInterval: Math.min(maximumCheckMilliseconds, Math.ceil(headersTimeout / checksOfTimeout)),
    };
    const server = tls === undefined
        ? createServer(serverOptions, onRequest)
        : createTlsServer({ ...serverOptions, cert: tls.certificate, key: tls.key }, onRequest);
    server.maxConnections = maximumConnections;
    // The bytes are bounded already; with a bound on their number, Node.js would silently drop the headers above it.
    server.maxHeadersCount = 0;
    server.on("checkContinue", onRequest);
    return server;
}
