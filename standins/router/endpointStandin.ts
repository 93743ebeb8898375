import {
    createServer,
    type IncomingHttpHeaders,
    type IncomingMessage,
    type Server,
    type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import type { ArrivalRecord } from "./arrivalRecord.ts";
import { EndpointAnswers } from "./endpointAnswers.ts";
import type { EndpointBehaviour } from "./endpointBehaviour.ts";
import { EndpointOrders } from "./endpointOrders.ts";
import { EndpointSilence } from "./endpointSilence.ts";
import type { LayerRange } from "./layerRange.ts";
import { readBody } from "./readBody.ts";
import type { RunRecord } from "./runRecord.ts";
import { sendJson } from "./sendJson.ts";

/** Options of an {@link EndpointStandin}. */
interface EndpointStandinOptions {
    id: string;
    /** Number of events per stream. Default: 5. */
    events?: number;
    /** Interval between two events, in milliseconds. Default: 5. */
    eventMilliseconds?: number;
    /** Layers that the endpoint holds initially. */
    layers?: LayerRange;
    /** Called when an order has changed the layers. */
    onLayersChanged?(layers: LayerRange): void;
    /** Called when a request has stopped the endpoint. */
    onStopped?(): void;
}

const fullStatus = 503;
/** Memory that the endpoint reports, in tokens times layers. */
const totalMemory = 1_000;
const stopDelayMilliseconds = 20;
const millisecondsPerSecond = 1_000;

/** Stand-in for an endpoint of the platform. It serves documents, streams, reports and orders. */
export class EndpointStandin {
    behaviour: EndpointBehaviour = {};
    /** Start time of the endpoint, in Unix milliseconds. */
    born = 1_000;
    readonly runs: RunRecord[] = [];
    readonly arrivals: ArrivalRecord[] = [];
    /** IDs of the requests that were sent to the endpoint, also those whose callers left while it was silent. */
    readonly receivedIds = new Set<string>();
    /** Address of the failed stage to report for stalled streams. */
    stalledAddress = "";
    /** Whether the endpoint has stopped. */
    isStopped = false;
    private readonly options: EndpointStandinOptions;
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();
    private readonly silence = EndpointSilence.create();
    private readonly answers: EndpointAnswers;
    private readonly layerOrders: EndpointOrders;

    private constructor(options: EndpointStandinOptions) {
        this.options = options;
        const { id, events = 5, eventMilliseconds = 5, layers } = options;
        this.answers = EndpointAnswers.create({
            id,
            events,
            eventMilliseconds,
            silence: this.silence,
            getBehaviour: () => this.behaviour,
            getStalledAddress: () => this.stalledAddress,
            onResumed: () => {
                this.behaviour = { ...this.behaviour, stallsAfterEvent: undefined };
            },
        });
        this.layerOrders = EndpointOrders.create({
            layers,
            takeStalled: requestId => this.answers.takeStalled(requestId),
            onLayersChanged: changed => options.onLayersChanged?.(changed),
        });
        this.server = createServer((request, response) => void this.handle(request, response));
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.once("close", () => this.sockets.delete(socket));
        });
    }

    /** Starts a stand-in on a free port of the loopback address. */
    static async create(options: EndpointStandinOptions): Promise<EndpointStandin> {
        const standin = new EndpointStandin(options);
        await new Promise<void>(resolve => standin.server.listen(0, "127.0.0.1", resolve));
        return standin;
    }

    /** Layers that the endpoint holds. */
    get layers(): LayerRange | undefined {
        return this.layerOrders.getLayers();
    }

    /** Orders that the endpoint received. */
    get orders(): Record<string, unknown>[] {
        return this.layerOrders.received;
    }

    /** Requests whose stream waits for another chain: the address of the failed stage by request ID. */
    get stalled(): ReadonlyMap<string, string> {
        return this.answers.stalled;
    }

    /** Gets the address as host:port. */
    getAddress(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    /**
     * Makes the endpoint stand still for some time, as a process does that is not scheduled. Its connections stay open, and new ones open.
     * It reads and sends nothing, and then continues where it was.
     * @param answersReports - Whether it goes on answering status reports, as one does whose requests wait for memory.
     */
    fallSilent(milliseconds: number, answersReports = false): void {
        this.silence.begin(milliseconds, answersReports);
    }

    /** Resets all connections, as an endpoint does that is replaced. It accepts new ones. */
    resetConnections(): void {
        for (const socket of this.sockets) {
            socket.resetAndDestroy();
        }
    }

    /** Stops the endpoint and closes all connections. */
    async close(): Promise<void> {
        if (!this.isStopped) {
            await this.stop();
        }
    }

    private async stopByRequest(): Promise<void> {
        if (!this.isStopped) {
            await this.stop();
            this.options.onStopped?.();
        }
    }

    private async stop(): Promise<void> {
        this.isStopped = true;
        await new Promise(resolve => {
            this.server.close(resolve);
            this.server.closeAllConnections();
        });
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const arrivedAt = Date.now();
        this.receivedIds.add(String(request.headers["request-id"]));
        const isReport = request.url === "/v1/report";
        await (isReport ? this.silence.waitUntilReports() : this.silence.waitUntilEnd());
        if (this.behaviour.isLeaving === true) {
            response.setHeader("server-leaving", "1");
        }
        const body = await readBody(request);
        if (body === undefined) {
            return;
        }
        if (isReport) {
            this.sendReport(response);
            return;
        }
        if (request.url === "/v1/order") {
            if (this.isMisdirected(request)) {
                sendJson(response, 421, {});
                return;
            }
            const order = JSON.parse(body) as Record<string, unknown>;
            this.layerOrders.execute(order, status => sendJson(response, status, {}));
            return;
        }
        await this.runRequest(request, response, body, arrivedAt);
    }

    private sendReport(response: ServerResponse): void {
        const stalled = [...this.stalled.keys()].map(id => ({ id, address: this.stalledAddress }));
        sendJson(response, 200, {
            pace: this.behaviour.slowness ?? 1,
            sequence: this.layerOrders.getSequence(),
            busy: false,
            born: this.born,
            layers: this.layers ?? null,
            kv_used: this.behaviour.isFull === true ? totalMemory : 0,
            kv_total: totalMemory,
            stalled,
        });
    }

    private async runRequest(
        request: IncomingMessage,
        response: ServerResponse,
        body: string,
        arrivedAt: number,
    ): Promise<void> {
        const id = String(request.headers["request-id"]);
        const { behaviour } = this;
        if (this.isMisdirected(request)) {
            sendJson(response, 421, {});
            return;
        }
        this.recordArrival(id);
        const refusalStatus = behaviour.refusalStatus ?? (behaviour.isFull === true ? fullStatus : undefined);
        if (refusalStatus !== undefined) {
            this.refuse(response, id, refusalStatus);
            return;
        }
        const { method = "", url = "", headers } = request;
        const port = request.socket.remotePort;
        const record: RunRecord = { id, method, url, headers, body, arrivedAt, isAbandoned: false, port };
        this.runs.push(record);
        response.once("close", () => {
            record.isAbandoned = !response.writableFinished;
        });
        const stopsLater = behaviour.stopsOnPromptPart !== undefined
            && listSharedParts(headers).includes(behaviour.stopsOnPromptPart);
        if (stopsLater || behaviour.stopsOnBody === body) {
            const delay = stopsLater ? behaviour.delayMilliseconds ?? 0 : 0;
            const startMilliseconds = behaviour.stopsSuddenly === true ? 0 : stopDelayMilliseconds;
            setTimeout(() => void this.stopByRequest(), delay + startMilliseconds);
            return;
        }
        await wait(behaviour.delayMilliseconds ?? 0);
        await this.silence.waitUntilEnd();
        const { stopsAfterAnswering } = behaviour;
        if (stopsAfterAnswering?.body === body) {
            setTimeout(() => void this.stopByRequest(), stopsAfterAnswering.milliseconds);
        }
        this.answers.send(request, response, record);
    }

    /** Gets if a request or an order is addressed to another endpoint, which had the address before. */
    private isMisdirected({ headers }: IncomingMessage): boolean {
        const expected = headers["expect-instance"];
        return expected !== undefined && expected !== this.options.id;
    }

    private recordArrival(requestId: string): void {
        const { pauseSeconds, isLeaving = false } = this.behaviour;
        const arrivedAt = Date.now();
        const pauseEndsAt = pauseSeconds === undefined ? undefined : arrivedAt + pauseSeconds * millisecondsPerSecond;
        this.arrivals.push({ requestId, arrivedAt, pauseEndsAt, isLeavingAnnounced: isLeaving });
    }

    private refuse(response: ServerResponse, id: string, status: number): void {
        const { pauseSeconds } = this.behaviour;
        if (pauseSeconds !== undefined) {
            response.setHeader("retry-after", String(pauseSeconds));
        }
        response.writeHead(status, { "request-id": id, "not-executed": "1" }).end();
    }
}

/** Lists the ids of all parts of a prompt but the last, which no other request has. */
function listSharedParts(headers: IncomingHttpHeaders): string[] {
    return String(headers["prompt-prefix"] ?? "").split(",").slice(0, -1).map(part => part.split(":", 1)[0]!);
}
