import { type IncomingHttpHeaders, request as sendRequest } from "node:http";
import { CallerListener } from "../../platform/callerListener.ts";
import { decodeConfiguration } from "../../platform/decodeConfiguration.ts";
import { decodeEndpoint } from "../../platform/decodeEndpoint.ts";
import { endpointProtocol } from "../../platform/endpointProtocol.ts";
import { KeyValueStore } from "../../platform/keyValueStore.ts";
import { routerKeys } from "../../platform/routerKeys.ts";
import { findFreePorts } from "../../scripts/deployment/findFreePorts.ts";
import { EventLoopMonitor } from "../../src/process/loop/eventLoopMonitor.ts";
import { getProcessorTime } from "../../src/process/loop/getProcessorTime.ts";
import { InputBarrier } from "../../src/process/loop/inputBarrier.ts";
import { RendezvousOwners } from "../../src/process/membership/rendezvousOwners.ts";
import { Metrics } from "../../src/process/metrics/metrics.ts";
import { RouterNode } from "../../src/process/router/routerNode.ts";
import { systemClock } from "../../src/process/systemClock.ts";
import type { EndpointProtocol } from "../../src/request/relay/endpointProtocol.ts";
import { NodeLinks } from "../../standins/network/nodeLinks.ts";
import { callerKey } from "../../standins/router/callerKey.ts";
import { createConfiguration } from "../../standins/router/createConfiguration.ts";
import { createEndpointRecord } from "../../standins/router/createEndpointRecord.ts";
import { EndpointStandin } from "../../standins/router/endpointStandin.ts";
import { KeyValueStandin } from "../../standins/router/keyValueStandin.ts";
import { RecordingEventLog } from "../support/recordingEventLog.ts";
import { waitUntil } from "../support/waitUntil.ts";

/** A response as a caller receives it. */
export interface CallerAnswer {
    status: number;
    headers: IncomingHttpHeaders;
    body: string;
    /** Whether the response was received completely. */
    isComplete: boolean;
}

/** A running node and its listener for callers. */
export interface StartedNode {
    node: RouterNode;
    callers: CallerListener;
    store: KeyValueStore;
    log: RecordingEventLog;
    address: string;
    peerAddress: string;
    /** The node's links to the endpoints. */
    links: NodeLinks;
}

const maximumStarts = 3;
/** Maximum size of a body before a configuration is known. */
const maximumBodyBytes = 100_000;
let requestCount = 0;

/** Test harness with a store, endpoints and router nodes, all in this process and on loopback addresses. */
export class RouterTestHarness {
    readonly store: KeyValueStandin;
    readonly endpoints = new Map<string, EndpointStandin>();
    readonly nodes: StartedNode[] = [];
    /** Protocol of the nodes that are added. */
    protocol: EndpointProtocol = endpointProtocol;
    /** Retries that all nodes that are added may make in 10 s beyond their ratio. */
    repeatSlack = 2_000;

    private constructor(store: KeyValueStandin) {
        this.store = store;
    }

    /** Starts a store with a configuration. */
    static async create(): Promise<RouterTestHarness> {
        const harness = new RouterTestHarness(await KeyValueStandin.create());
        harness.store.put("op/config", createConfiguration(1));
        return harness;
    }

    /** Starts an endpoint and registers it. */
    async addEndpoint(
        id: string,
        service: "documents" | "model",
        layers?: { from: number; to: number; },
        options: { events?: number; eventMilliseconds?: number; onStopped?(): void; } = {},
    ): Promise<EndpointStandin> {
        const endpoint = await EndpointStandin.create({
            ...options,
            id,
            layers,
            onLayersChanged: held => this.register(id, service, held),
        });
        this.endpoints.set(id, endpoint);
        this.register(id, service, layers);
        return endpoint;
    }

    /** Starts this many endpoints for each half of the model's layers, as many for documents, and writes a plan that they match. */
    async addReplicas(count: number): Promise<void> {
        for (let index = 1; index <= count; index++) {
            await this.addEndpoint(`a${index}`, "model", { from: 0, to: 4 });
            await this.addEndpoint(`b${index}`, "model", { from: 4, to: 8 });
            await this.addEndpoint(`d${index}`, "documents");
        }
        this.putPlacementInHalves();
    }

    /** Counts the runs of requests with a body at all endpoints. */
    countRuns(body: string): number {
        const runs = [...this.endpoints.values()].flatMap(endpoint => endpoint.runs);
        return runs.filter(run => run.body === body).length;
    }

    /** Counts the endpoints that have stopped or crashed. */
    countStopped(): number {
        return [...this.endpoints.values()].filter(({ isStopped }) => isStopped).length;
    }

    /** Writes the record of an endpoint to the store. */
    register(id: string, service: string, layers?: { from: number; to: number; }, state?: string): void {
        const endpoint = this.endpoints.get(id)!;
        const address = endpoint.getAddress();
        const held = service === "model" ? layers ?? null : undefined;
        const { born } = endpoint;
        this.store.put(`servers/${id}`, createEndpointRecord({ service, address, state, layers: held, born }));
    }

    /** Writes a plan in which endpoints hold either half of the model's layers. No layers are moved if the endpoints match it. */
    putPlacementInHalves(): void {
        this.putPlacement([{ start: 0, end: 4 }, { start: 4, end: 8 }]);
    }

    /** Writes a plan in which this many endpoints hold all layers of the model each. No layers are moved if the endpoints match it. */
    putWholePlacement(endpoints = 1): void {
        this.putPlacement(Array.from({ length: endpoints }, () => ({ start: 0, end: 8 })));
    }

    /** Creates links of a node to all endpoints that can be cut. */
    async createLinks(): Promise<NodeLinks> {
        const links = NodeLinks.create();
        for (const endpoint of this.endpoints.values()) {
            await links.add(endpoint.getAddress());
        }
        return links;
    }

    /** Starts a node. If another process takes one of its ports meanwhile, starts another node in its place. */
    async addNode(storeAddress = this.store.getAddress(), links = NodeLinks.create()): Promise<StartedNode> {
        for (let attempt = 1;; attempt += 1) {
            const started = await this.createNode(storeAddress, links);
            const { node, callers, store } = started;
            try {
                await node.start();
                await callers.listen();
                this.nodes.push(started);
                return started;
            }
            catch (error) {
                await node.startDraining();
                await node.stop();
                store.close();
                if ((error as NodeJS.ErrnoException).code !== "EADDRINUSE" || attempt === maximumStarts) {
                    throw error;
                }
            }
        }
    }

    private putPlacement(ranges: readonly { start: number; end: number; }[]): void {
        const columns = ranges.map(layers => ({ layers, kind: "big" }));
        this.store.put("foxlead/placement/model", { service: "model", modelName: "m", layers: 8, columns });
    }

    private async createNode(storeAddress: string, links: NodeLinks): Promise<StartedNode> {
        const [callerPort, peerPort, tunnelPort] = await findFreePorts(3);
        const address = `127.0.0.1:${callerPort}`;
        const peerAddress = `127.0.0.1:${peerPort}`;
        const log = RecordingEventLog.create();
        const store = KeyValueStore.create(storeAddress, {
            onCall: () => undefined,
            onEra: (_era, earlierEra) => earlierEra !== undefined && node.handleStoreRestored(),
        });
        const barrier = InputBarrier.create();
        const clock = EventLoopMonitor.create({ clock: systemClock, barrier, log, getProcessorTime });
        const node: RouterNode = RouterNode.create({
            nodeId: `node-${this.nodes.length}`,
            version: "test",
            settings: {
                vm: `vm-${this.nodes.length}`,
                dataCentre: "a",
                callerListener: address,
                readinessListener: "127.0.0.1:0",
                peerListener: peerAddress,
                adminListener: "127.0.0.1:0",
                tunnelListener: `127.0.0.1:${tunnelPort}`,
                seeds: this.nodes.map(started => started.peerAddress),
                storeAddress,
                shutdownMilliseconds: 2_000,
                configurationMilliseconds: 2_000,
                drainMilliseconds: 2_000,
                repeatRatio: 0.2,
                repeatSlack: this.repeatSlack,
                repeatWindowMilliseconds: 10_000,
                maximumHeldBytes: 100_000_000,
                maximumConnections: 3_500,
            },
            clock,
            barrier,
            random: Math.random,
            log,
            metrics: Metrics.create(),
            owners: await RendezvousOwners.create(),
            store,
            keys: routerKeys,
            protocol: this.protocol,
            decodeConfiguration,
            decodeEndpoint,
            createSocket: target => links.createSocket(target),
        });
        const callers = CallerListener.create({
            address,
            clock,
            log,
            getMaximumBodyBytes: () => node.getRouting()?.configuration.limits.bodyBytes ?? maximumBodyBytes,
            getIdleMilliseconds: () => node.getRouting()?.configuration.limits.idleTimeoutMilliseconds ?? 0,
            refuseEarly: (head, hasLargeBody) => node.refuseEarly(head, hasLargeBody),
            handle: (request, sink) => node.handle(request, sink),
        });
        return { node, callers, store, log, address, peerAddress, links };
    }

    /** Waits until a node knows the configuration and the given number of endpoints. */
    async waitForEndpoints(started: StartedNode, count: number): Promise<void> {
        await waitUntil(
            `${count} endpoints are known`,
            () =>
                started.node.isReady()
                && (started.node.getStatus() as { endpoints: object[]; }).endpoints.length === count,
        );
    }

    /** Sends a request as a caller. */
    send(
        started: StartedNode,
        path: string,
        options: { method?: string; headers?: Record<string, string>; body?: string; signal?: AbortSignal; } = {},
    ): Promise<CallerAnswer> {
        const [host, port] = started.address.split(":");
        requestCount += 1;
        const headers = {
            host: "one.example",
            "request-id": `request-${requestCount}`,
            "request-deadline-ms": "5000",
            authorization: `Bearer ${callerKey}`,
            ...options.headers,
        };
        return new Promise((resolve, reject) => {
            const { method = "POST", body = "", signal } = options;
            const request = sendRequest({ host, port, path, method, headers, signal, agent: false }, response => {
                const chunks: Buffer[] = [];
                const finish = () =>
                    resolve({
                        status: response.statusCode ?? 0,
                        headers: response.headers,
                        body: Buffer.concat(chunks).toString("utf8"),
                        isComplete: response.complete,
                    });
                response.on("data", (chunk: Buffer) => chunks.push(chunk));
                response.on("error", () => undefined);
                response.on("close", finish);
            });
            request.on("error", reject);
            request.end(body);
        });
    }

    /** Stops all nodes. */
    async stopNodes(): Promise<void> {
        for (const { node, callers, store, links } of this.nodes.splice(0)) {
            callers.stopListening();
            await node.startDraining();
            await node.stop();
            store.close();
            await links.close();
        }
    }

    /** Stops the nodes, the endpoints and the store. */
    async close(): Promise<void> {
        await this.stopNodes();
        for (const endpoint of this.endpoints.values()) {
            await endpoint.close();
        }
        await this.store.close();
    }
}
