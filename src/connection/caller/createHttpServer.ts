import { createServer, type RequestListener, type Server } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { CallerServerOptions } from "./callerServerOptions.ts";

const MaximumHeaderBytes = 32 * 1024;
/** Node.js looks for requests that are late at this interval, so that none is late for much longer. */
const MaximumCheckMilliseconds = 1_000;
const ChecksOfTimeout = 4;

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
        maxHeaderSize: MaximumHeaderBytes,
        headersTimeout,
        requestTimeout: bodyTimeoutMilliseconds,
        connectionsCheckingInterval: Math.min(MaximumCheckMilliseconds, Math.ceil(headersTimeout / ChecksOfTimeout)),
    };
    const server = tls === undefined
        ? createServer(serverOptions, onRequest)
        : createTlsServer({ ...serverOptions, cert: tls.certificate, key: tls.key }, onRequest);
    server.maxConnections = maximumConnections;
    // The bytes are bounded; headers above a number would be dropped without a word.
    server.maxHeadersCount = 0;
    server.on("checkContinue", onRequest);
    return server;
}
