import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { KeyValueFaults } from "./keyValueFaults.ts";
import { readBody } from "./readBody.ts";
import { sendJson } from "./sendJson.ts";

/** A stored key. The value is undefined if the key was deleted. */
interface StoredItem {
    key: string;
    /** Value in base64. */
    value: string | undefined;
    revision: number;
    created: number;
}

/** State of a store at a moment. */
interface StoreCopy {
    items: ReadonlyMap<string, StoredItem>;
    revision: number;
    compactedRevision: number;
}

/** Request body of a transaction. */
interface Transaction {
    expected: { key: string; revision: number; }[];
    puts: { key: string; value: string; }[];
    remove: string[];
}

const pageSize = 20;

/** Stand-in for the platform's key-value store, with keys, ranges, watches and transactions over HTTP. */
export class KeyValueStandin {
    faults: KeyValueFaults = {};
    /** Number of calls by path. */
    readonly callCounts = new Map<string, number>();
    private readonly server: Server;
    private items = new Map<string, StoredItem>();
    /** Callbacks of the pending watches: the key answers a watch if there are changes, the value makes it never answer. */
    private readonly pendingWatches = new Map<() => void, () => void>();
    private revision = 1;
    /** Sent with all responses. Rises by one each time the store is restored. */
    private era = 0;
    private compactedRevision = 0;

    private constructor() {
        this.server = createServer((request, response) => void this.handle(request, response));
    }

    /** Starts an empty store on a free port of the loopback address. */
    static async create(): Promise<KeyValueStandin> {
        const standin = new KeyValueStandin();
        await new Promise<void>(resolve => standin.server.listen(0, "127.0.0.1", resolve));
        return standin;
    }

    /** Gets the address as host:port. */
    getAddress(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    /** Writes a value as JSON, like an operator or an endpoint. */
    put(key: string, value: object): void {
        this.putBytes(key, Buffer.from(JSON.stringify(value)));
    }

    /** Writes a value that may be no text. */
    putBytes(key: string, value: Buffer): void {
        this.write(key, value.toString("base64"));
        this.checkPendingWatches();
    }

    /** Deletes a key. */
    remove(key: string): void {
        this.write(key, undefined);
        this.checkPendingWatches();
    }

    /** Compacts the history. Watches that start at an earlier revision get status 410. */
    compact(): void {
        this.compactedRevision = this.revision;
    }

    /** Copies the state of the store. */
    createCopy(): StoreCopy {
        return { items: new Map(this.items), revision: this.revision, compactedRevision: this.compactedRevision };
    }

    /** Restores an older snapshot: later writes are lost, and their revisions are given out again. Waiting calls are cut. */
    restore({ items, revision, compactedRevision }: StoreCopy): void {
        this.items = new Map(items);
        this.revision = revision;
        this.compactedRevision = compactedRevision;
        this.era += 1;
        this.losePendingWatches();
        this.server.closeAllConnections();
    }

    /** Loses the calls that wait for changes: they are never answered, and their connections stay open. */
    losePendingWatches(): void {
        for (const lose of this.pendingWatches.values()) {
            lose();
        }
        this.pendingWatches.clear();
    }

    /** Gets the value of a key as text. */
    getText(key: string): string | undefined {
        const value = this.items.get(key)?.value;
        return value === undefined ? undefined : Buffer.from(value, "base64").toString("utf8");
    }

    /** Stops the store and closes all connections. */
    async close(): Promise<void> {
        await new Promise(resolve => {
            this.server.close(resolve);
            this.server.closeAllConnections();
        });
    }

    private write(key: string, value: string | undefined): void {
        this.revision += 1;
        const created = this.items.get(key)?.created ?? this.revision;
        this.items.set(key, { key, value, revision: this.revision, created });
    }

    private checkPendingWatches(): void {
        for (const check of [...this.pendingWatches.keys()]) {
            check();
        }
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const url = new URL(request.url ?? "/", "http://store");
        this.callCounts.set(url.pathname, (this.callCounts.get(url.pathname) ?? 0) + 1);
        const text = await readBody(request);
        if (text === undefined) {
            return;
        }
        response.setHeader("store-era", this.era);
        if (this.faults.isSilent === true) {
            return;
        }
        if (this.faults.refusalStatus !== undefined) {
            sendJson(response, this.faults.refusalStatus, { error: "Refused by an injected fault." });
            return;
        }
        switch (url.pathname) {
            case "/v1/kv-key":
                return this.answerKey(url, response);
            case "/v1/kv-range":
                return this.answerRange(url, response);
            case "/v1/kv-watch":
                return this.answerWatch(url, response);
            case "/v1/kv-txn":
                return this.answerTransaction(JSON.parse(text) as Transaction, response);
            default:
                sendJson(response, 404, { error: "Unknown path." });
        }
    }

    private answerKey(url: URL, response: ServerResponse): void {
        const item = this.items.get(url.searchParams.get("key") ?? "");
        if (item?.value === undefined) {
            sendJson(response, 404, {});
            return;
        }
        sendJson(response, 200, { ...item, lease: 0, at: this.revision });
    }

    private answerRange(url: URL, response: ServerResponse): void {
        const prefix = url.searchParams.get("prefix") ?? "";
        const after = url.searchParams.get("after") ?? "";
        const items = [...this.items.values()].filter(({ key, value }) =>
            value !== undefined && key.startsWith(prefix) && key > after
        );
        items.sort((left, right) => left.key < right.key ? -1 : 1);
        sendJson(response, 200, {
            items: items.slice(0, pageSize),
            has_more: items.length > pageSize,
            at: this.revision,
        });
    }

    private answerWatch(url: URL, response: ServerResponse): void {
        const prefix = url.searchParams.get("prefix") ?? "";
        const after = Number(url.searchParams.get("after"));
        const answerIfChanged = (isLast: boolean) => {
            if (after < this.compactedRevision || after > this.revision) {
                finish(410, {});
                return;
            }
            const changed = [...this.items.values()].filter(({ key, revision }) =>
                key.startsWith(prefix) && revision > after
            );
            if (changed.length > 0 || isLast) {
                changed.sort((left, right) => left.revision - right.revision);
                const events = changed.map(({ key, value, revision }) =>
                    value === undefined ? { key, revision, deleted: true } : { key, value, revision }
                );
                finish(200, { events, at: this.revision });
            }
        };
        const check = () => answerIfChanged(false);
        const timer = setTimeout(() => answerIfChanged(true), Number(url.searchParams.get("wait_ms")));
        const finish = (status: number, body: object) => {
            clearTimeout(timer);
            this.pendingWatches.delete(check);
            sendJson(response, status, body);
        };
        response.once("close", () => {
            clearTimeout(timer);
            this.pendingWatches.delete(check);
        });
        this.pendingWatches.set(check, () => clearTimeout(timer));
        check();
    }

    private answerTransaction({ expected, puts, remove }: Transaction, response: ServerResponse): void {
        const isMet = expected.every(({ key, revision }) => {
            const item = this.items.get(key);
            return (item?.value === undefined ? 0 : item.revision) === revision;
        });
        if (!isMet) {
            const items = expected.map(({ key }) => this.items.get(key)).filter(item => item?.value !== undefined);
            sendJson(response, 412, { items });
            return;
        }
        for (const { key, value } of puts) {
            this.write(key, value);
        }
        for (const key of remove) {
            this.write(key, undefined);
        }
        this.checkPendingWatches();
        if (this.faults.losesAnswers === true) {
            response.destroy();
            return;
        }
        sendJson(response, 200, { revision: this.revision });
    }
}
