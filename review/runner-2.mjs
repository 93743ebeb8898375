/** Stand-in of a runner, as PROTOCOL.md describes it: document requests, streams over its layers, reports and orders. */
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { setTimeout } from "node:timers";
import { setTimeout as sleep } from "node:timers/promises";
import { findPorts } from "./deployment-2.mjs";

const finalEvent = "end";
/** Three heartbeats. */
const entryMilliseconds = 3_600;

/** A runner that registers itself in the store. Each start is a new lifetime. */
export class Runner {
    arrivals = [];
    /** Ids of requests that have run. */
    runs = [];
    layers = undefined;
    isDown = true;
    crashes = [];
    sequence = 0;
    highestFence = 0;
    isBusy = false;
    starts = 0;
    lifetime = 0;

    /**
     * @param options - `deployment`, `record`, `name`, `service`, `zone`; for a model `isModel`, `loadMilliseconds`, `modelLayers`, `events`,
     * `eventMilliseconds`; for documents `workMilliseconds`. `answerStream` replaces the answer to a stream; `crashesOn` decides if the
     * runner crashes as it begins to write the answer to a request.
     */
    constructor(options) {
        this.options = { zone: "a", slots: 40, workMilliseconds: 30, events: 10, eventMilliseconds: 50, loadMilliseconds: 1_000, ...options };
        options.deployment.runners.push(this);
    }

    /** Starts a lifetime, empty, and registers it. */
    async start() {
        const { name, deployment, record } = this.options;
        this.starts += 1;
        this.lifetime += 1;
        this.id = name;
        this.born = Date.now();
        this.layers = undefined;
        this.sequence = 0;
        this.highestFence = 0;
        this.isBusy = false;
        this.sockets = new Set();
        this.server = createServer((request, response) => void this.handle(request, response));
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.on("error", () => undefined);
            socket.once("close", () => this.sockets.delete(socket));
        });
        this.port ??= (await findPorts(1))[0];
        await new Promise((resolve, reject) => {
            this.server.once("listening", resolve);
            this.server.once("error", () => {
                // Another program has its port now. It starts at another address.
                this.server.once("error", reject);
                this.server.listen(0, "127.0.0.1");
            });
            this.server.listen(this.port, "127.0.0.1");
        });
        this.port = this.server.address().port;
        this.isDown = false;
        record.note(`${name}: starts at port ${this.port}, empty`);
        deployment.register(this.id, this.createEntry());
    }

    /** Gets the address. */
    getAddress() {
        return `127.0.0.1:${this.port}`;
    }

    createEntry() {
        const { service, zone, slots, isModel, kind } = this.options;
        const layers = isModel === true ? this.layers ?? null : undefined;
        return { service, address: this.getAddress(), slots, born: this.born, dataCentre: zone, layers, kind };
    }

    /** Ends the process at once. Its entry goes after three heartbeats unless it has started again by then. */
    async crash(cause) {
        if (this.isDown) {
            return;
        }
        this.isDown = true;
        this.lifetime += 1;
        this.crashes.push({ at: Date.now(), cause });
        this.options.record.note(`${this.options.name}: crashes (${cause})`);
        for (const socket of this.sockets) {
            socket.resetAndDestroy();
        }
        await new Promise(resolve => this.server.close(resolve));
    }

    /** Ends the process at once, and starts it again under its id after a time. */
    async crashFor(milliseconds, cause) {
        await this.crash(cause);
        await sleep(milliseconds);
        await this.start();
    }

    /** Ends the process at once for good. Its entry goes after three heartbeats. */
    async loseForGood(cause) {
        await this.crash(cause);
        await sleep(entryMilliseconds);
        this.options.deployment.store.remove(`servers/${this.id}`);
    }

    /** Stops for good at the end of the case. */
    async close() {
        if (!this.isDown) {
            this.isDown = true;
            this.lifetime += 1;
            for (const socket of this.sockets) {
                socket.destroy();
            }
            await new Promise(resolve => this.server.close(resolve));
        }
    }

    async handle(request, response) {
        const { lifetime } = this;
        const chunks = [];
        response.on("error", () => undefined);
        request.on("error", () => undefined);
        try {
            for await (const chunk of request) {
                chunks.push(chunk);
            }
        }
        catch {
            return;
        }
        if (lifetime !== this.lifetime) {
            return;
        }
        const body = Buffer.concat(chunks).toString("utf8");
        if (request.url === "/v1/report") {
            this.sendJson(response, 200, {
                born: this.born,
                stage: "both",
                models: [{ name: "m", version: 1, adapters: [] }],
                layers: this.layers ?? null,
                kind: this.options.kind ?? "big",
                busy: this.isBusy,
                sequence: this.sequence,
                queued: 0,
                active: 0,
                kv_used: 0,
                kv_total: 100_000,
                handle_count: 0,
                pace: 1,
                stalled: [],
            });
            return;
        }
        const expected = request.headers["expect-instance"];
        if (expected !== undefined && expected !== this.id) {
            this.sendJson(response, 421, {}, { "Request-Id": request.headers["request-id"] ?? "" });
            return;
        }
        if (request.url === "/v1/order") {
            this.order(JSON.parse(body), response);
            return;
        }
        await this.run(request, response);
    }

    order(order, response) {
        const { name, record, loadMilliseconds, modelLayers = 8 } = this.options;
        const { fence = 0, from, to, expected } = order;
        let status = 202;
        const isHeld = this.layers !== undefined && this.layers.from === from && this.layers.to === to;
        if (order.operation !== "place") {
            status = 404;
        }
        else if (fence < this.highestFence) {
            status = 412;
        }
        else if (expected !== undefined && expected !== this.sequence || this.isBusy) {
            status = 409;
        }
        else if (isHeld) {
            status = 200;
        }
        record.note(`${name}: order ${from}-${to} fence ${fence} is answered ${status}`);
        if (status === 202) {
            this.highestFence = fence;
            this.sequence += 1;
            this.isBusy = true;
            const { lifetime } = this;
            setTimeout(() => {
                if (lifetime === this.lifetime) {
                    this.isBusy = false;
                    this.layers = { from, to };
                    this.options.deployment.register(this.id, this.createEntry());
                }
            }, loadMilliseconds * (to - from) / modelLayers);
        }
        this.sendJson(response, status, {});
    }

    async run(request, response) {
        const { name, record, isModel, workMilliseconds, crashesOn, answerStream } = this.options;
        const id = String(request.headers["request-id"]);
        const { lifetime } = this;
        const fault = isModel === true ? this.findFault(String(request.headers["hop-count"] ?? "")) : undefined;
        if (fault !== undefined) {
            record.note(`${name}: ${id} reaches it and is answered ${fault.status}, not run (${fault.address})`);
            const head = { "Request-Id": id, "Not-Executed": "1", "At-Server": fault.address, "Content-Length": 0 };
            response.writeHead(fault.status, head).end();
            return;
        }
        this.arrivals.push({ id, at: Date.now(), headers: request.headers, url: request.url });
        record.note(`${name}: ${id} reaches it and runs`);
        this.runs.push(id);
        if (crashesOn?.(request) === true) {
            const { crashDelayMilliseconds = 20, onCrash } = this.options;
            await sleep(crashDelayMilliseconds);
            if (lifetime === this.lifetime) {
                void onCrash(this, id);
            }
            return;
        }
        const head = { "Request-Id": id, "Response-Seal": `seal.${name}.${id}` };
        if (isModel !== true) {
            await sleep(workMilliseconds);
            if (lifetime === this.lifetime) {
                const text = `answer to ${id}`;
                response.writeHead(200, { ...head, "Content-Length": text.length }).end(text);
            }
            return;
        }
        response.writeHead(200, { ...head, "Content-Type": "text/event-stream" });
        response.flushHeaders();
        if (answerStream !== undefined && await answerStream(this, request, response)) {
            return;
        }
        await this.streamEvents(request, response, lifetime);
    }

    /** Finds the part of a path that can't run: 421 if its runner doesn't hold it, 503 if that is dead. */
    findFault(path) {
        for (const [, address, from, to] of path.matchAll(/([^,=]+)=(\d+)-(\d+)/g)) {
            const runner = this.options.deployment.runners.find(other => other.getAddress() === address.trim());
            if (runner === undefined || runner.isDown) {
                return { status: 503, address };
            }
            const { layers } = runner;
            if (layers === undefined || Number(from) < layers.from || Number(to) > layers.to) {
                return { status: 421, address };
            }
        }
        return undefined;
    }

    async streamEvents(request, response, lifetime) {
        const { events, eventMilliseconds } = this.options;
        const first = Number(request.headers["last-event-id"] ?? 0) + 1;
        for (let event = first; event <= events; event += 1) {
            await sleep(eventMilliseconds);
            if (lifetime !== this.lifetime || response.destroyed) {
                return;
            }
            response.write(`id: ${event}\ndata: ${event === events ? finalEvent : "tokens"}\n\n`);
        }
        response.end();
    }

    sendJson(response, status, body, headers = {}) {
        const text = JSON.stringify(body);
        response.writeHead(status, { "Content-Type": "application/json", "Content-Length": text.length, ...headers }).end(text);
    }
}
