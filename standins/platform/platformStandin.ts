import findMyWay from "find-my-way";
import { once } from "node:events";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { Clock } from "../../src/process/clock.ts";
import { systemClock } from "../../src/process/systemClock.ts";
import { CallKind } from "./callKind.ts";
import { controlSchemas } from "./controlSchemas.ts";
import { FaultInjector } from "./faultInjector.ts";
import type { FaultsChange } from "./faultsChange.ts";
import { PlatformService } from "./platformService.ts";
import { readJsonBody } from "./readJsonBody.ts";
import { sendJson } from "./sendJson.ts";

const host = "127.0.0.1";
const defaultVmListLagMilliseconds = 1_000;
const defaultProgressMilliseconds = 1_000;
const okStatus = 200;
const badRequestStatus = 400;
const invalidArgumentGrpcCode = 3;

interface PlatformStandinOptions {
    /** TCP port on 127.0.0.1; 0 for any free port. */
    port: number;
    /** Lag of the VM list, in milliseconds. Default: 1,000. */
    vmListLagMilliseconds?: number;
    /** Rate limit of transactions and lease calls. Default: no limit. */
    writesPerSecond?: number;
    /** Rate limit of range and watch calls. Default: no limit. */
    readsPerSecond?: number;
    /** Interval between the progress notifications of watches, in milliseconds. Default: 1,000. */
    progressMilliseconds?: number;
    /** Clock for lags, rate limits, leases and delays. Default: the system clock. */
    clock?: Clock;
}

/**
 * Stand-in for the platform in tests. It provides the JSON gateway of the etcd v3 API, the VM list and fault injection.
 * Leases expire even while the stand-in is down or hangs.
 */
export class PlatformStandin {
    private readonly clock: Clock;
    private readonly faults = FaultInjector.create();
    private readonly service: PlatformService;
    private readonly server: Server;
    private readonly router = findMyWay();

    private constructor(options: PlatformStandinOptions) {
        this.clock = options.clock ?? systemClock;
        this.service = PlatformService.create({
            clock: this.clock,
            vmListLagMilliseconds: options.vmListLagMilliseconds ?? defaultVmListLagMilliseconds,
            writesPerSecond: options.writesPerSecond ?? Infinity,
            readsPerSecond: options.readsPerSecond ?? Infinity,
            progressMilliseconds: options.progressMilliseconds ?? defaultProgressMilliseconds,
            isSilent: response => this.faults.isSilent(response.socket),
        });
        this.addCallRoutes();
        this.addControlRoutes();
        this.server = createServer((request, response) => this.router.lookup(request, response));
        this.server.on("connection", socket => this.faults.addSocket(socket));
    }

    /** Starts a stand-in on the loopback interface. */
    static async create(options: PlatformStandinOptions): Promise<PlatformStandin> {
        const standin = new PlatformStandin(options);
        standin.server.listen(options.port, host);
        await once(standin.server, "listening");
        return standin;
    }

    /** Gets the address as `host:port`. */
    getAddress(): string {
        return `${host}:${(this.server.address() as AddressInfo).port}`;
    }

    /** Gets the call counts, like `GET /standin/counts`. */
    getCounts(): ReturnType<PlatformService["getCounts"]> {
        return this.service.getCounts();
    }

    /** Takes a snapshot of the keys, leases and revision. */
    takeSnapshot(): void {
        this.service.state.takeSnapshot();
    }

    /**
     * Sets the faults given in a change; the others keep their values.
     * @throws Error if a snapshot must be restored and none was taken.
     */
    setFaults(change: FaultsChange): void {
        if (change.restoreOlder === true && !this.service.state.restoreSnapshot()) {
            throw new Error("There is no snapshot to restore. Take a snapshot first.");
        }
        this.faults.change(change);
        if (change.down === true || change.restoreOlder === true) {
            this.service.watches.destroyAll();
        }
    }

    /** Stops listening and closes all connections. */
    async close(): Promise<void> {
        this.service.close();
        this.server.close();
        this.server.closeAllConnections();
        await once(this.server, "close");
    }

    private addCallRoutes(): void {
        this.addCallRoute("POST", "/v3/kv/range", CallKind.Range);
        this.addCallRoute("POST", "/v3/kv/txn", CallKind.Transaction);
        this.addCallRoute("POST", "/v3/lease/grant", CallKind.LeaseGrant);
        this.addCallRoute("POST", "/v3/lease/keepalive", CallKind.LeaseKeepAlive);
        this.addCallRoute("POST", "/v3/lease/revoke", CallKind.LeaseRevoke);
        this.addCallRoute("POST", "/v3/watch", CallKind.Watch);
        this.addCallRoute("GET", "/v1/vms", CallKind.VmList);
    }

    private addControlRoutes(): void {
        this.addControlRoute("POST", "/standin/faults", body => {
            this.setFaults(controlSchemas.faults.parse(body));
            return this.faults.getFaults();
        });
        this.addControlRoute("POST", "/standin/snapshot", () => {
            this.takeSnapshot();
            return {};
        });
        this.addControlRoute("GET", "/standin/counts", () => this.getCounts());
        this.addControlRoute("POST", "/standin/counts/reset", () => {
            this.service.resetCounts();
            return {};
        });
        this.addControlRoute("PUT", "/standin/vms/:name", (body, name) => {
            this.service.vmList.set(name, controlSchemas.vm.parse(body));
            return {};
        });
        this.addControlRoute("DELETE", "/standin/vms/:name", (_body, name) => {
            this.service.vmList.remove(name);
            return {};
        });
    }

    private addCallRoute(method: "GET" | "POST", path: string, kind: CallKind): void {
        this.router.on(method, path, (request, response) => {
            this.answerCall(kind, request as IncomingMessage, response as ServerResponse)
                .catch((error: unknown) => sendError(response as ServerResponse, error));
        });
    }

    private addControlRoute(
        method: "GET" | "POST" | "PUT" | "DELETE",
        path: string,
        run: (body: unknown, name: string) => object,
    ): void {
        this.router.on(method, path, (request, response, parameters) => {
            readJsonBody(request as IncomingMessage)
                .then(body => sendJson(response as ServerResponse, okStatus, run(body, parameters.name ?? "")))
                .catch((error: unknown) => sendError(response as ServerResponse, error));
        });
    }

    private async answerCall(kind: CallKind, request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (this.isBlockedByFault(response)) {
            return;
        }
        const body = await readJsonBody(request);
        await this.delay();
        if (this.isBlockedByFault(response)) {
            return;
        }
        const answer = this.service.run(kind, body, response);
        if (answer === undefined) {
            return;
        }
        if (answer.hasWritten && this.faults.tryConsumeLostAnswer()) {
            response.destroy();
            return;
        }
        sendJson(response, answer.status, answer.body);
    }

    /** Gets if a fault prevents a call from being executed. Destroys the connection if the stand-in is down. */
    private isBlockedByFault(response: ServerResponse): boolean {
        if (this.faults.getFaults().down) {
            response.destroy();
            return true;
        }
        return this.faults.isSilent(response.socket);
    }

    private async delay(): Promise<void> {
        const { delayMilliseconds } = this.faults.getFaults();
        if (delayMilliseconds > 0) {
            await new Promise<void>(resolve => this.clock.setTimer(delayMilliseconds, resolve));
        }
    }
}

function sendError(response: ServerResponse, error: unknown): void {
    const message = error instanceof Error ? error.message : String(error);
    sendJson(response, badRequestStatus, { code: invalidArgumentGrpcCode, message, details: [] });
}
