import findMyWay from "find-my-way";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { Err, Ok, type Result } from "../../result.ts";
import type { Metrics } from "../metrics/metrics.ts";
import { parseAddress } from "../settings/parseAddress.ts";
import type { ListenError } from "./listenError.ts";

/** Whether a node may get requests. */
interface Readiness {
    ready: boolean;
    /** Why it is not ready, or what it is ready with. */
    reason: string;
}

/** Options of {@link AdminServer}. */
interface AdminServerOptions {
    /** host:port, by IP number. */
    listener: string;
    metrics: Metrics;
    /** Says whether the balancer may send requests to this node. */
    isReady(): Readiness;
    /** Says whether the process works; false asks the platform to replace it. */
    isHealthy(): boolean;
    /** Gets what operators see of this node; answered as JSON. */
    getStatus(): object;
}

/** Serves metrics, readiness, health and status on an address of their own. */
export class AdminServer {
    private readonly options: AdminServerOptions;
    private readonly server: Server;

    private constructor(options: AdminServerOptions) {
        this.options = options;
        const router = this.createRouter();
        this.server = createServer((request, response) => {
            try {
                router.lookup(request, response);
            }
            catch (error) {
                answerFailure(response, error);
            }
        });
    }

    /**
     * Creates a server; it does not listen yet.
     * @param options - Address, and where the answers come from.
     */
    static create(options: AdminServerOptions): AdminServer {
        return new AdminServer(options);
    }

    /**
     * Begins to listen.
     * @returns host:port of the listener, or why it can't listen.
     */
    listen(): Promise<Result<string, ListenError>> {
        const { listener } = this.options;
        return new Promise(resolve => {
            const fail = (error: Error) => {
                const message = `Can't listen on the admin address ${listener}: ${error.message}. `
                    + "Set adminListener to a free address of this machine.";
                resolve(Err({ kind: "listen", message }));
            };
            this.server.once("error", fail);
            this.server.listen(parseAddress(listener), () => {
                this.server.off("error", fail);
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

    private createRouter() {
        const router = findMyWay({ defaultRoute: (request, response) => answerUnknown(request, response) });
        router.get("/metrics", (_request, response) => {
            this.answerMetrics(response).catch((error: unknown) => answerFailure(response, error));
        });
        router.get("/readyz", (_request, response) => {
            const { ready, reason } = this.options.isReady();
            answerText(response, ready ? 200 : 503, reason);
        });
        router.get("/healthz", (_request, response) => {
            const isHealthy = this.options.isHealthy();
            answerText(response, isHealthy ? 200 : 503, isHealthy ? "Healthy." : "Unhealthy.");
        });
        router.get("/status", (_request, response) => {
            const body = `${JSON.stringify(this.options.getStatus(), undefined, 4)}\n`;
            response.writeHead(200, { "content-type": "application/json" }).end(body);
        });
        return router;
    }

    private async answerMetrics(response: ServerResponse): Promise<void> {
        const { registry } = this.options.metrics;
        const text = await registry.metrics();
        response.writeHead(200, { "content-type": registry.contentType }).end(text);
    }
}

const paths = ["/metrics", "/readyz", "/healthz", "/status"];

function answerUnknown(request: IncomingMessage, response: ServerResponse): void {
    const [path = ""] = (request.url ?? "").split("?");
    if (paths.includes(path)) {
        response.setHeader("allow", "GET");
        answerText(response, 405, "Use GET.");
        return;
    }
    answerText(response, 404, `Unknown path; known are ${paths.join(", ")}.`);
}

/** A failed answer must not end the process: whoever looks at it needs the other paths most at that time. */
function answerFailure(response: ServerResponse, error: unknown): void {
    if (response.headersSent) {
        response.destroy();
        return;
    }
    answerText(response, 500, `The answer can't be made: ${error instanceof Error ? error.message : String(error)}`);
}

function answerText(response: ServerResponse, status: number, text: string): void {
    response.writeHead(status, { "content-type": "text/plain; charset=utf-8" }).end(`${text}\n`);
}
