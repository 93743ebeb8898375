// Stand-in for a runner of the users' platform. A runner of documents answers each request after some milliseconds. A
// runner of a model starts empty, takes orders to hold layers, and answers with a stream of events.
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { clearInterval, setInterval, setTimeout } from "node:timers";

const beatMilliseconds = 1_200;
const lapseMilliseconds = 3 * beatMilliseconds;

export class Runner {
    /**
     * @param options.host, options.port - Address; the port may be 0 at the first start.
     * @param options.begin - Called when the runner begins to work on a request; may return true to take the answer over.
     */
    constructor(options) {
        this.options = { slots: 6, workMilliseconds: 30, events: 20, eventMilliseconds: 30, ...options };
        this.port = options.port ?? 0;
        this.lives = 0;
        this.isRunning = false;
    }

    /** Starts a new lifetime with a new id, and registers it. */
    async start() {
        this.lives += 1;
        this.id = `i-${this.options.name}-${this.lives}`;
        this.born = Date.now();
        this.active = 0;
        this.sequence = 0;
        this.fence = 0;
        this.layers = null;
        this.isBusy = false;
        const { id } = this;
        this.server = createServer((request, response) => void this.handle(request, response, id));
        this.server.keepAliveTimeout = 20_000;
        await new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(this.port, this.options.host, resolve);
        });
        this.port = this.server.address().port;
        this.address = `${this.options.host}:${this.port}`;
        this.sockets = new Set();
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.on("error", () => undefined);
            socket.once("close", () => this.sockets.delete(socket));
        });
        this.isRunning = true;
        this.register();
    }

    /** Crashes: all channels end at once and nothing listens. The entry goes after three beats of silence. */
    crash() {
        this.isRunning = false;
        const { id, server, sockets } = this;
        server.close();
        for (const socket of [...sockets]) {
            socket.resetAndDestroy();
        }
        setTimeout(() => this.options.store.remove(`servers/${id}`), lapseMilliseconds);
    }

    async close() {
        if (this.isRunning) {
            this.isRunning = false;
            await new Promise(resolve => {
                this.server.close(resolve);
                this.server.closeAllConnections();
            });
        }
    }

    register() {
        const { store, service, slots, kind } = this.options;
        store.put(`servers/${this.id}`, {
            service,
            address: this.address,
            zone: "zone-a",
            version: "v1",
            slots,
            state: "ready",
            cold_left_ms: 0,
            sequence: this.lives,
            born: this.born,
            ...(kind === undefined ? {} : { kind, ...this.describeLayers() }),
        });
    }

    describeLayers() {
        const models = this.layers === null ? [] : [{ name: "m", version: 1, adapters: [] }];
        return { stage: "both", models, layers: this.layers };
    }

    async handle(request, response, id) {
        const chunks = [];
        try {
            for await (const chunk of request) {
                chunks.push(chunk);
            }
        }
        catch {
            return;
        }
        const body = Buffer.concat(chunks);
        const expected = request.headers["expect-instance"];
        if (request.url === "/v1/report") {
            sendJson(response, 200, {
                ...this.describeLayers(),
                busy: this.isBusy,
                sequence: this.sequence,
                queued: 0,
                active: this.active,
                kv_used: 0,
                kv_total: 1_000_000,
                handle_count: 0,
                pace: 1,
                born: this.born,
                stalled: [],
            });
        }
        else if (expected !== undefined && expected !== id) {
            response.writeHead(421, { "Request-Id": request.headers["request-id"] ?? "", "Not-Executed": "1" }).end();
        }
        else if (request.url === "/v1/order") {
            this.handleOrder(JSON.parse(body.toString("utf8")), response);
        }
        else if (request.url === "/health") {
            response.writeHead(200, { "Runner-Id": id }).end();
        }
        else {
            this.handleRequest(request, response, body);
        }
    }

    handleOrder({ operation, fence = 0, expected, from, to }, response) {
        if (operation !== "place") {
            sendJson(response, operation === "repath" ? 404 : 400, {});
            return;
        }
        if (fence < this.fence) {
            sendJson(response, 412, {});
            return;
        }
        this.fence = fence;
        if (this.layers?.from === from && this.layers.to === to) {
            sendJson(response, 200, {});
            return;
        }
        if (this.isBusy || expected !== undefined && expected !== this.sequence) {
            sendJson(response, 409, {});
            return;
        }
        this.sequence += 1;
        this.isBusy = true;
        sendJson(response, 202, {});
        const { born } = this;
        setTimeout(() => {
            if (this.isRunning && this.born === born) {
                this.isBusy = false;
                this.layers = { from, to, version: 1 };
                this.register();
            }
        }, 300);
    }

    handleRequest(request, response, body) {
        const requestId = request.headers["request-id"];
        const { slots, begin, workMilliseconds } = this.options;
        if (requestId === undefined) {
            response.writeHead(400, { "Not-Executed": "1" }).end();
            return;
        }
        const hops = request.headers["hop-count"];
        const layers = /=(\d+)-(\d+)$/.exec(hops ?? "");
        const isHeld = layers === null || this.layers !== null && Number(layers[1]) >= this.layers.from
                && Number(layers[2]) <= this.layers.to;
        if (!isHeld || this.active >= slots) {
            const status = isHeld ? 503 : 421;
            response.writeHead(status, { "Request-Id": requestId, "Not-Executed": "1", "At-Server": this.address }).end();
            return;
        }
        this.active += 1;
        response.once("close", () => {
            this.active -= 1;
        });
        if (begin?.({ runner: this, request, response, requestId, body }) === true) {
            return;
        }
        if (hops !== undefined) {
            this.stream(request, response);
            return;
        }
        setTimeout(() => {
            const answer = `answer of ${this.id} to ${requestId}\n`;
            response.writeHead(200, {
                "Request-Id": requestId,
                "Response-Seal": createSeal(this.id, requestId),
                "Content-Type": "text/plain",
                "Content-Length": String(answer.length),
            }).end(answer);
        }, workMilliseconds);
    }

    /** Sends the events after the one that the caller has. `onEvent` may return true to take the stream over. */
    stream(request, response, onEvent = () => false) {
        const { events, eventMilliseconds } = this.options;
        const requestId = request.headers["request-id"];
        let id = Number(request.headers["last-event-id"] ?? 0);
        response.writeHead(200, {
            "Request-Id": requestId,
            "Response-Seal": createSeal(this.id, requestId),
            "Content-Type": "text/event-stream",
        });
        const timer = setInterval(() => {
            if (response.destroyed || onEvent(id)) {
                clearInterval(timer);
                return;
            }
            id += 1;
            if (id > events) {
                clearInterval(timer);
                response.end();
                return;
            }
            response.write(`id: ${id}\ndata: piece ${id} of ${requestId}\n\n`);
        }, eventMilliseconds);
    }
}

function createSeal(id, requestId) {
    return `seal.${id}.${requestId}`;
}

function sendJson(response, status, body) {
    response.writeHead(status, { "Content-Type": "application/json" }).end(JSON.stringify(body));
}
