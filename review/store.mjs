// Stand-in for the platform's metadata store, as PROTOCOL.md describes it: items with revisions, ranges, watches,
// transactions and leases over HTTP. It loses nothing and has no limits of calls.
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { clearTimeout, setTimeout } from "node:timers";
import { URL } from "node:url";

const pageSize = 100;
const reservedPrefixes = ["op/", "servers/"];

export class Store {
    constructor() {
        this.items = new Map();
        this.changes = [];
        this.revision = 1;
        this.watches = new Set();
        this.nextLease = 1;
        this.server = createServer((request, response) => void this.handle(request, response));
    }

    static async create(host) {
        const store = new Store();
        await new Promise(resolve => store.server.listen(0, host, resolve));
        store.address = `${host}:${store.server.address().port}`;
        return store;
    }

    /** Writes a value as the operator or a runner does: an object as JSON, or bytes as they are. */
    put(key, value) {
        const bytes = Buffer.isBuffer(value) ? value : Buffer.from(JSON.stringify(value));
        this.write(key, bytes.toString("base64"), 0);
        this.wakeWatches();
    }

    remove(key) {
        if (this.items.has(key)) {
            this.write(key, undefined, 0);
            this.wakeWatches();
        }
    }

    async close() {
        await new Promise(resolve => {
            this.server.close(resolve);
            this.server.closeAllConnections();
        });
    }

    write(key, value, lease) {
        this.revision += 1;
        if (value === undefined) {
            this.items.delete(key);
            this.changes.push({ key, revision: this.revision, deleted: true });
            return;
        }
        const created = this.items.get(key)?.created ?? this.revision;
        const item = { key, value, revision: this.revision, created, lease };
        this.items.set(key, item);
        this.changes.push(item);
    }

    wakeWatches() {
        for (const wake of [...this.watches]) {
            wake();
        }
    }

    async handle(request, response) {
        const url = new URL(request.url, "http://store");
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const text = Buffer.concat(chunks).toString("utf8");
        response.setHeader("Store-Era", "0");
        const query = url.searchParams;
        if (url.pathname === "/v1/kv-key") {
            const item = this.items.get(query.get("key"));
            send(response, item === undefined ? 404 : 200, { ...item, at: this.revision });
        }
        else if (url.pathname === "/v1/kv-range") {
            this.answerRange(query, response);
        }
        else if (url.pathname === "/v1/kv-watch") {
            this.answerWatch(query, response);
        }
        else if (url.pathname === "/v1/kv-txn") {
            this.answerTransaction(JSON.parse(text), response);
        }
        else if (url.pathname === "/v1/kv-lease") {
            send(response, 200, { lease: this.nextLease++, ttl_ms: JSON.parse(text).ttl_ms });
        }
        else {
            send(response, 404, {});
        }
    }

    answerRange(query, response) {
        const prefix = query.get("prefix") ?? "";
        const after = query.get("after") ?? "";
        const items = [...this.items.values()].filter(({ key }) => key.startsWith(prefix) && key > after);
        items.sort((left, right) => left.key < right.key ? -1 : 1);
        const page = items.slice(0, pageSize);
        send(response, 200, { items: page, has_more: items.length > page.length, at: this.revision });
    }

    answerWatch(query, response) {
        const prefix = query.get("prefix") ?? "";
        const after = Number(query.get("after"));
        if (after > this.revision) {
            send(response, 410, {});
            return;
        }
        const listEvents = () => this.changes.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
        const end = () => {
            clearTimeout(timer);
            this.watches.delete(wake);
        };
        const finish = () => {
            end();
            send(response, 200, { events: listEvents(), at: this.revision });
        };
        const wake = () => {
            if (listEvents().length > 0) {
                finish();
            }
        };
        const timer = setTimeout(finish, Number(query.get("wait_ms")));
        response.once("close", end);
        this.watches.add(wake);
        wake();
    }

    answerTransaction({ expected = [], puts = [], remove = [] }, response) {
        const keys = [...puts.map(({ key }) => key), ...remove];
        if (keys.some(key => reservedPrefixes.some(prefix => key.startsWith(prefix)))) {
            send(response, 403, {});
            return;
        }
        if (expected.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)) {
            const items = expected.map(({ key }) => this.items.get(key)).filter(item => item !== undefined);
            send(response, 412, { items });
            return;
        }
        for (const { key, value, lease = 0 } of puts) {
            this.write(key, value, lease);
        }
        for (const key of remove) {
            this.write(key, undefined, 0);
        }
        this.wakeWatches();
        send(response, 200, { revision: this.revision });
    }
}

function send(response, status, body) {
    response.writeHead(status, { "Content-Type": "application/json" }).end(JSON.stringify(body));
}
