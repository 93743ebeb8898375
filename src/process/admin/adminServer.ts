import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { Err, Ok, type Result } from "../../result.ts";
import { ProcessorAccount } from "../loop/processorAccount.ts";
import { ProcessorCause } from "../loop/processorCause.ts";
import type { Metrics } from "../metrics/metrics.ts";
import { parseAddress } from "../settings/parseAddress.ts";
import type { ListenError } from "./listenError.ts";

/** Readiness of a node for requests. */
interface Readiness {
    ready: boolean;
    /** Why the node is not ready, or a short confirmation if it is. */
    reason: string;
}

/** Options of an {@link AdminServer}. */
interface AdminServerOptions {
    /** Address to listen on, as `host:port` with an IP address. */
    listener: string;
    metrics: Metrics;
    /** Checks if the load balancer may send requests to this node. The result contains the reason. */
    isReady(): Readiness;
    /** Checks if the process works. If not, the platform is expected to replace it. */
    isHealthy(): boolean;
    /** Gets the status for operators, which is served as JSON. */
    getStatus(): object;
}

/** HTTP server for metrics, readiness, health and status, on a separate address. */
export class AdminServer {
    private readonly options: AdminServerOptions;
    private readonly server: Server;
    /** Functions that respond to GET, by path. A router library would compile functions for these paths at each start. */
    private readonly responders: ReadonlyMap<string, (response: ServerResponse) => void> = new Map([
        ["/metrics", response => {
            this.respondWithMetrics(response).catch((error: unknown) => respondWithFailure(response, error));
        }],
        ["/readyz", response => this.respondWithReadiness(response)],
        ["/healthz", response => this.respondWithHealth(response)],
        ["/status", response => this.respondWithStatus(response)],
    ]);

    private constructor(options: AdminServerOptions) {
        this.options = options;
        this.server = createServer((request, response) => {
            try {
                this.handle(request, response);
            }
            catch (error) {
                respondWithFailure(response, error);
            }
        });
    }

    /** Creates a server. It does not listen before {@link AdminServer.listen}. */
    static create(options: AdminServerOptions): AdminServer {
        return new AdminServer(options);
    }

    /**
     * Starts to listen.
     * @returns Address of the listener as `host:port`, or why it cannot listen.
     */
    listen(): Promise<Result<string, ListenError>> {
        const { listener } = this.options;
        return new Promise(resolve => {
            const handleError = (error: Error) => {
                const message = `Cannot listen on the admin address ${listener}: ${error.message}. `
                    + "Set adminListener to an unused address of this VM.";
                resolve(Err({ kind: "listen", message }));
            };
            this.server.once("error", handleError);
            this.server.listen(parseAddress(listener), () => {
                this.server.off("error", handleError);
                const { address, family, port } = this.server.address() as AddressInfo;
                resolve(Ok(family === "IPv6" ? `[${address}]:${port}` : `${address}:${port}`));
            });
        });
    }

    /** Stops listening and closes the connections. */
    async close(): Promise<void> {
        await new Promise(resolve => {
            this.server.close(resolve);
            this.server.closeAllConnections();
        });
    }

    private handle(request: IncomingMessage, response: ServerResponse): void {
        const respond = this.responders.get(getPath(request));
        if (respond === undefined) {
            const paths = [...this.responders.keys()].join(", ");
            respondWithText(response, 404, `Unknown path; known paths are ${paths}.`);
            return;
        }
        if (request.method !== "GET") {
            response.setHeader("allow", "GET");
            respondWithText(response, 405, "Use GET.");
            return;
        }
        respond(response);
    }

    private respondWithReadiness(response: ServerResponse): void {
        const { ready, reason } = this.options.isReady();
        respondWithText(response, ready ? 200 : 503, reason);
    }

    private respondWithHealth(response: ServerResponse): void {
        const isHealthy = this.options.isHealthy();
        respondWithText(response, isHealthy ? 200 : 503, isHealthy ? "Healthy." : "Unhealthy.");
    }

    private respondWithStatus(response: ServerResponse): void {
        const body = `${JSON.stringify(this.options.getStatus(), undefined, 4)}\n`;
        response.writeHead(200, { "content-type": "application/json" }).end(body);
    }

    private async respondWithMetrics(response: ServerResponse): Promise<void> {
        const { registry } = this.options.metrics;
        const text = await ProcessorAccount.ofProcess.run(ProcessorCause.Metrics, () => registry.metrics());
        response.writeHead(200, { "content-type": registry.contentType }).end(text);
    }
}

/** Gets the path of a request without its query. */
function getPath({ url = "" }: IncomingMessage): string {
    const [path = ""] = url.split("?");
    return path;
}

/** Responds to a failed request. The failure must not end the process, since operators then need the other paths most. */
function respondWithFailure(response: ServerResponse, error: unknown): void {
    if (response.headersSent) {
        response.destroy();
        return;
    }
    respondWithText(
        response,
        500,
        `The response could not be created: ${error instanceof Error ? error.message : String(error)}`,
    );
}

function respondWithText(response: ServerResponse, status: number, text: string): void {
    response.writeHead(status, { "content-type": "text/plain; charset=utf-8" }).end(`${text}\n`);
}
