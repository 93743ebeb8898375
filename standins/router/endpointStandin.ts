import {
    createServer,
    type IncomingHttpHeaders,
    type IncomingMessage,
    type Server,
    type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import type { ArrivalRecord } from "./arrivalRecord.ts";
import type { EndpointBehaviour } from "./endpointBehaviour.ts";
import type { RunRecord } from "./runRecord.ts";

/** Options of an {@link EndpointStandin}. */
interface EndpointStandinOptions {
    id: string;
    /** Number of events per stream. Default: 5. */
    events?: number;
    /** Interval between two events, in milliseconds. Default: 5. */
    eventMilliseconds?: number;
    /** Layers that the endpoint holds initially. */
    layers?: { from: number; to: number; };
    /** Called when an order has changed the layers. */
    onLayersChanged?(layers: { from: number; to: number; }): void;
    /** Called when a request has stopped the endpoint. */
    onStopped?(): void;
}

const fullStatus = 503;
/** Memory that the endpoint reports, in tokens times layers. */
const totalMemory = 1_000;
const stopDelayMilliseconds = 20;
const resetDelayMilliseconds = 20;
const millisecondsPerSecond = 1_000;

/** Stand-in for an endpoint of the platform. It serves documents, streams, reports and orders. */
export class EndpointStandin {
    behaviour: EndpointBehaviour = {};
    layers: { from: number; to: number; } | undefined;
    /** Start time of the endpoint, in Unix milliseconds. */
    born = 1_000;
    readonly runs: RunRecord[] = [];
    readonly arrivals: ArrivalRecord[] = [];
    /** IDs of the requests that were sent to the endpoint, also those whose callers left while it was silent. */
    readonly receivedIds = new Set<string>();
    readonly orders: Record<string, unknown>[] = [];
    /** Requests whose stream waits for another chain: the address of the failed stage by request ID. */
    readonly stalled = new Map<string, string>();
    /** Address of the failed stage to report for stalled streams. */
    stalledAddress = "";
    /** Whether the endpoint has stopped. */
    isStopped = false;
    private readonly options: EndpointStandinOptions;
    private readonly server: Server;
    private readonly resumeCallbacks = new Map<string, () => void>();
    private sequence = 0;
    private highestFencingNumber = 0;
    /** Monotonic time in milliseconds until which the endpoint is silent. */
    private silentUntil = -Infinity;
    /** Whether it answers status reports while it is silent. */
    private answersReports = false;

    private constructor(options: EndpointStandinOptions) {
        this.options = options;
        this.layers = options.layers;
        this.server = createServer((request, response) => void this.handle(request, response));
    }

    /** Starts a stand-in on a free port of the loopback address. */
    static async create(options: EndpointStandinOptions): Promise<EndpointStandin> {
        const standin = new EndpointStandin(options);
        await new Promise<void>(resolve => standin.server.listen(0, "127.0.0.1", resolve));
        return standin;
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
        this.silentUntil = performance.now() + milliseconds;
        this.answersReports = answersReports;
    }

    private getRemainingSilence(): number {
        return Math.max(0, this.silentUntil - performance.now());
    }

    private async waitUntilAwake(): Promise<void> {
        for (let left = this.getRemainingSilence(); left > 0; left = this.getRemainingSilence()) {
            await wait(left);
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
        if (!isReport || !this.answersReports) {
            await this.waitUntilAwake();
        }
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
            this.handleOrder(JSON.parse(body) as Record<string, unknown>, response);
            return;
        }
        await this.runRequest(request, response, body, arrivedAt);
    }

    private sendReport(response: ServerResponse): void {
        const stalled = [...this.stalled.keys()].map(id => ({ id, address: this.stalledAddress }));
        sendJson(response, 200, {
            pace: this.behaviour.slowness ?? 1,
            sequence: this.sequence,
            busy: false,
            born: this.born,
            layers: this.layers ?? null,
            kv_used: this.behaviour.isFull === true ? totalMemory : 0,
            kv_total: totalMemory,
            stalled,
        });
    }

    private handleOrder(order: Record<string, unknown>, response: ServerResponse): void {
        this.orders.push(order);
        if (order["operation"] === "repath") {
            const id = String(order["id"]);
            const resume = this.resumeCallbacks.get(id);
            this.stalled.delete(id);
            sendJson(response, resume === undefined ? 404 : 202, {});
            resume?.();
            return;
        }
        const fencingNumber = Number(order["fence"] ?? 0);
        if (fencingNumber < this.highestFencingNumber) {
            sendJson(response, 412, {});
            return;
        }
        this.highestFencingNumber = fencingNumber;
        if (order["expected"] !== undefined && order["expected"] !== this.sequence) {
            sendJson(response, 409, {});
            return;
        }
        this.sequence += 1;
        this.layers = { from: Number(order["from"]), to: Number(order["to"]) };
        sendJson(response, 202, {});
        this.options.onLayersChanged?.(this.layers);
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
            setTimeout(() => void this.stopByRequest(), delay + stopDelayMilliseconds);
            return;
        }
        await wait(behaviour.delayMilliseconds ?? 0);
        await this.waitUntilAwake();
        const { stopsAfterAnswering } = behaviour;
        if (stopsAfterAnswering?.body === body) {
            setTimeout(() => void this.stopByRequest(), stopsAfterAnswering.milliseconds);
        }
        this.sendAnswer(request, response, record);
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

    private sendAnswer(request: IncomingMessage, response: ServerResponse, { id, headers }: RunRecord): void {
        const { behaviour } = this;
        if (behaviour.losesAnswer === true) {
            request.socket.resetAndDestroy();
            return;
        }
        const answeredId = behaviour.answersWrongRequest === true ? "another" : id;
        const signature = behaviour.isUnsigned === true ? {} : { "response-seal": `seal-${this.options.id}` };
        const { requestsPerSecond: rate } = behaviour;
        const limit = rate === undefined ? {} : { "server-limit": String(rate) };
        const head = { "request-id": answeredId, ...signature, ...limit };
        if (behaviour.resetsUnframed === true) {
            request.socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nresponse-seal: s\r\n\r\nhalf`);
            setTimeout(() => request.socket.resetAndDestroy(), 30);
            return;
        }
        if (behaviour.unframedEnd !== undefined) {
            omitFraming(response);
        }
        if (headers["hop-count"] !== undefined) {
            response.writeHead(200, { ...head, "content-type": "text/event-stream" });
            this.streamFrom(Number(headers["last-event-id"] ?? 0) + 1, id, response);
            return;
        }
        const status = behaviour.failureStatus ?? 200;
        const answer = `answer of ${this.options.id}`;
        if (behaviour.unframedEnd !== undefined) {
            response.writeHead(status, head).write(answer);
            this.endUnframed(response);
            return;
        }
        response.writeHead(status, { ...head, "content-length": answer.length }).end(answer);
        if (behaviour.sendsExtra === true) {
            request.socket.write(`HTTP/1.1 200 OK\r\nrequest-id: extra\r\ncontent-length: 5\r\n\r\nextra`);
        }
    }

    private streamFrom(event: number, id: string, response: ServerResponse): void {
        const { events = 5, eventMilliseconds = 5 } = this.options;
        const { behaviour } = this;
        if (response.destroyed || this.sendForeignBytes(event, response)) {
            return;
        }
        const silence = this.getRemainingSilence();
        if (silence > 0) {
            setTimeout(() => this.streamFrom(event, id, response), silence);
            return;
        }
        if (event > events) {
            if (behaviour.unframedEnd !== undefined) {
                this.endUnframed(response);
                return;
            }
            response.end();
            return;
        }
        if (behaviour.cutsAfterEvent !== undefined && event === behaviour.cutsAfterEvent + 1) {
            response.write(`id: ${event}\nda`);
            setTimeout(() => this.cut(response), eventMilliseconds);
            return;
        }
        if (behaviour.stallsAfterEvent !== undefined && event === behaviour.stallsAfterEvent + 1) {
            this.stall(event, id, response);
            return;
        }
        response.write(`id: ${event}\ndata: ${this.options.id}\n\n`);
        setTimeout(() => this.streamFrom(event + 1, id, response), eventMilliseconds * (behaviour.slowness ?? 1));
    }

    /** Sends bytes that are no event before an event, if the behaviour says so. Returns whether the answer ends there. */
    private sendForeignBytes(event: number, response: ServerResponse): boolean {
        const { foreignBytes } = this.behaviour;
        if (foreignBytes?.afterEvent !== event - 1) {
            return false;
        }
        response.write(foreignBytes.bytes, "latin1");
        if (!foreignBytes.continues) {
            response.end();
        }
        return !foreignBytes.continues;
    }

    /** Ends a response with neither a length nor chunks after its last byte, or in the middle of an event. */
    private endUnframed(response: ServerResponse): void {
        if (this.behaviour.unframedEnd === "close") {
            response.end();
            return;
        }
        // The bytes before a reset would be lost if it followed at once.
        setTimeout(() => response.socket?.resetAndDestroy(), resetDelayMilliseconds);
    }

    private cut(response: ServerResponse): void {
        if (this.behaviour.unframedEnd === undefined) {
            response.destroy();
            return;
        }
        this.endUnframed(response);
    }

    /** Holds a stream before an event until an order moves it to another chain, or until the stage that it waits for continues. */
    private stall(event: number, id: string, response: ServerResponse): void {
        const { stallMilliseconds } = this.behaviour;
        const resume = () => {
            this.stalled.delete(id);
            this.resumeCallbacks.delete(id);
            this.behaviour = { ...this.behaviour, stallsAfterEvent: undefined };
            this.streamFrom(event, id, response);
        };
        this.stalled.set(id, this.stalledAddress);
        this.resumeCallbacks.set(id, resume);
        if (stallMilliseconds !== undefined) {
            setTimeout(() => {
                if (this.resumeCallbacks.get(id) === resume) {
                    resume();
                }
            }, stallMilliseconds);
        }
    }
}

/** Makes the end of the connection the end of a response. */
function omitFraming(response: ServerResponse): void {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
    for (const name of ["content-length", "transfer-encoding", "connection"]) {
        response.removeHeader(name);
    }
}

/** Lists the ids of all parts of a prompt but the last, which no other request has. */
function listSharedParts(headers: IncomingHttpHeaders): string[] {
    return String(headers["prompt-prefix"] ?? "").split(",").slice(0, -1).map(part => part.split(":", 1)[0]!);
}

function sendJson(response: ServerResponse, status: number, body: object): void {
    response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body));
}

/** Reads the body of a request. Returns undefined if the caller disconnects before its end. */
async function readBody(request: IncomingMessage): Promise<string | undefined> {
    const chunks: Buffer[] = [];
    try {
        for await (const chunk of request) {
            chunks.push(chunk as Buffer);
        }
    }
    catch {
        return undefined;
    }
    return Buffer.concat(chunks).toString("utf8");
}
