import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { EndpointBehaviour } from "./endpointBehaviour.ts";
import type { RunRecord } from "./runRecord.ts";

/** Options of an {@link EndpointStandin}. */
interface EndpointStandinOptions {
    id: string;
    /** Events of each stream. */
    events?: number;
    /** Time between two events, in milliseconds. */
    eventMilliseconds?: number;
    /** Layers that it holds at first. */
    layers?: { from: number; to: number; };
    /** Called when an order has changed its layers. */
    onLayers?(layers: { from: number; to: number; }): void;
    /** Called when a request has ended it. */
    onEnded?(): void;
}

/** Time from the beginning of a run that ends the endpoint to that end, in milliseconds. */
const endMilliseconds = 20;

/** A stand-in of the platform's endpoints: document answers, streams, reports and orders. */
export class EndpointStandin {
    behaviour: EndpointBehaviour = {};
    layers: { from: number; to: number; } | undefined;
    /** When it started, in Unix milliseconds. */
    born = 1_000;
    readonly runs: RunRecord[] = [];
    readonly orders: Record<string, unknown>[] = [];
    /** Ids of requests whose stream waits for another chain, with the address at fault. */
    readonly stalled = new Map<string, string>();
    /** Address that the report names for stalled streams. */
    stalledAt = "";
    /** Whether it takes no connections any more. */
    hasEnded = false;
    private readonly options: EndpointStandinOptions;
    private readonly server: Server;
    private readonly resumes = new Map<string, () => void>();
    private sequence = 0;
    private highestFence = 0;

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

    /** Gets host:port. */
    getAddress(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    /** Stops, with all connections. */
    async close(): Promise<void> {
        if (!this.hasEnded) {
            await this.end();
        }
    }

    private async endByRequest(): Promise<void> {
        if (!this.hasEnded) {
            await this.end();
            this.options.onEnded?.();
        }
    }

    private async end(): Promise<void> {
        this.hasEnded = true;
        await new Promise(resolve => {
            this.server.close(resolve);
            this.server.closeAllConnections();
        });
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const chunks: Buffer[] = [];
        for await (const chunk of request) {
            chunks.push(chunk as Buffer);
        }
        const body = Buffer.concat(chunks).toString("utf8");
        if (request.url === "/v1/report") {
            this.report(response);
            return;
        }
        if (request.url === "/v1/order") {
            this.takeOrder(JSON.parse(body) as Record<string, unknown>, response);
            return;
        }
        this.run(request, response, body);
    }

    private report(response: ServerResponse): void {
        const stalled = [...this.stalled.keys()].map(id => ({ id, address: this.stalledAt }));
        sendJson(response, 200, {
            pace: 1,
            sequence: this.sequence,
            busy: false,
            born: this.born,
            layers: this.layers ?? null,
            kv_used: 0,
            kv_total: 1_000,
            stalled,
        });
    }

    private takeOrder(order: Record<string, unknown>, response: ServerResponse): void {
        this.orders.push(order);
        if (order["operation"] === "repath") {
            const id = String(order["id"]);
            const resume = this.resumes.get(id);
            this.stalled.delete(id);
            sendJson(response, resume === undefined ? 404 : 202, {});
            resume?.();
            return;
        }
        const fence = Number(order["fence"] ?? 0);
        if (fence < this.highestFence) {
            sendJson(response, 412, {});
            return;
        }
        this.highestFence = fence;
        if (order["expected"] !== undefined && order["expected"] !== this.sequence) {
            sendJson(response, 409, {});
            return;
        }
        this.sequence += 1;
        this.layers = { from: Number(order["from"]), to: Number(order["to"]) };
        sendJson(response, 202, {});
        this.options.onLayers?.(this.layers);
    }

    private run(request: IncomingMessage, response: ServerResponse, body: string): void {
        const id = String(request.headers["request-id"]);
        const { behaviour } = this;
        const expected = request.headers["expect-instance"];
        if (expected !== undefined && expected !== this.options.id) {
            sendJson(response, 421, {});
            return;
        }
        if (behaviour.refuseWith !== undefined) {
            response.writeHead(behaviour.refuseWith, { "request-id": id, "not-executed": "1" }).end();
            return;
        }
        const { method = "", url = "", headers } = request;
        const record: RunRecord = { id, method, url, headers, body, arrivedAt: Date.now(), isAbandoned: false };
        this.runs.push(record);
        response.once("close", () => {
            record.isAbandoned = !response.writableFinished;
        });
        if (behaviour.endsOnBody === body) {
            setTimeout(() => void this.endByRequest(), endMilliseconds);
            return;
        }
        setTimeout(() => this.answer(request, response, record), behaviour.delayMilliseconds ?? 0);
    }

    private answer(request: IncomingMessage, response: ServerResponse, { id, headers }: RunRecord): void {
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
        if (headers["hop-count"] !== undefined) {
            response.writeHead(200, { ...head, "content-type": "text/event-stream" });
            this.streamFrom(Number(headers["last-event-id"] ?? 0) + 1, id, response);
            return;
        }
        const status = behaviour.failWith ?? 200;
        const answer = `answer of ${this.options.id}`;
        response.writeHead(status, { ...head, "content-length": answer.length }).end(answer);
        if (behaviour.sendsExtra === true) {
            request.socket.write(`HTTP/1.1 200 OK\r\nrequest-id: extra\r\ncontent-length: 5\r\n\r\nextra`);
        }
    }

    private streamFrom(event: number, id: string, response: ServerResponse): void {
        const { events = 5, eventMilliseconds = 5 } = this.options;
        const { behaviour } = this;
        if (response.destroyed) {
            return;
        }
        if (event > events) {
            response.end();
            return;
        }
        if (behaviour.cutsAfterEvent !== undefined && event === behaviour.cutsAfterEvent + 1) {
            response.write(`id: ${event}\nda`);
            setTimeout(() => response.destroy(), eventMilliseconds);
            return;
        }
        if (behaviour.stallsAfterEvent !== undefined && event === behaviour.stallsAfterEvent + 1) {
            this.stalled.set(id, this.stalledAt);
            this.resumes.set(id, () => {
                this.behaviour = { ...this.behaviour, stallsAfterEvent: undefined };
                this.streamFrom(event, id, response);
            });
            return;
        }
        response.write(`id: ${event}\ndata: ${this.options.id}\n\n`);
        setTimeout(() => this.streamFrom(event + 1, id, response), eventMilliseconds);
    }
}

function sendJson(response: ServerResponse, status: number, body: object): void {
    response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body));
}
