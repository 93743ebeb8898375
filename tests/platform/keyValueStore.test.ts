import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { after, before, beforeEach, describe, it } from "node:test";
import { KeyValueStore } from "../../platform/keyValueStore.ts";

describe("KeyValueStore", () => {
    let server: Server;
    let store: KeyValueStore;
    /** Eras of the next responses; none is sent for undefined. */
    let eras: (string | undefined)[];
    /** Last keys of the next pages of a listing, each of which says that there are more. */
    let pages: string[] = [];
    let changes: [number, number | undefined][];

    before(async () => {
        server = createServer(({ url = "" }, response) => {
            if (!url.startsWith("/v1/kv-key")) {
                const key = pages.shift();
                const items = [{ key, value: "", revision: 2 }];
                response.end(JSON.stringify({ items, events: [{ key, value: "" }], has_more: true, at: 2 }));
                return;
            }
            const era = eras.shift();
            const headers = era === undefined ? {} : { "store-era": era };
            const body = { key: "k", value: Buffer.from("text").toString("base64"), revision: 7 };
            response.writeHead(200, { "content-type": "application/json", ...headers }).end(JSON.stringify(body));
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    });

    after(() => {
        store.close();
        server.closeAllConnections();
        server.close();
    });

    beforeEach(() => {
        changes = [];
        store = KeyValueStore.create(`127.0.0.1:${(server.address() as AddressInfo).port}`, {
            onCall: () => undefined,
            onEra: (era, earlierEra) => changes.push([era, earlierEra]),
        });
    });

    async function getRevisions(count: number): Promise<(number | undefined)[]> {
        const revisions: (number | undefined)[] = [];
        for (let call = 0; call < count; call++) {
            const stored = await store.get("k");
            revisions.push(stored.ok ? stored.val?.revision : undefined);
        }
        return revisions;
    }

    it("orders the same revision of a later era after that of an earlier one, and reports the era once", async () => {
        eras = ["3", "4", "4"];
        const [earlier, later, again] = await getRevisions(3);
        assert.ok(earlier! < later!);
        assert.equal(later, again);
        assert.deepEqual(changes, [[3, undefined], [4, 3]]);
    });

    it("rejects a late response of an earlier era", async () => {
        eras = ["4", "3"];
        const [, late] = await getRevisions(2);
        assert.equal(late, undefined);
        assert.equal(store.getEra(), 4);
    });

    it("takes a response without a valid era for one of the last known era", async () => {
        eras = ["4", undefined, "later", "4"];
        const revisions = await getRevisions(4);
        assert.equal(new Set(revisions).size, 1);
        assert.notEqual(revisions[0], undefined);
    });

    it("keeps revisions exact if eras are large numbers", async () => {
        eras = ["1800000000000", "1800000000001"];
        const [earlier, later] = await getRevisions(2);
        assert.ok(Number.isSafeInteger(later));
        assert.ok(earlier! < later!);
    });

    // Guards against a listing that never ends, since each page says that there are more.
    it("rejects a page that doesn't come after the one before", async () => {
        pages = ["a", "b", "b", "c"];
        assert.ok((await store.readAll("")).err);
        assert.deepEqual(pages, ["c"]);
    });

    it("rejects changes without a revision", async () => {
        pages = ["a"];
        assert.ok((await store.waitForChanges("", 1, 1, new AbortController().signal)).err);
    });

    it("has revisions as the store gives them if it names no era", async () => {
        eras = [undefined];
        assert.deepEqual(await getRevisions(1), [7]);
        assert.deepEqual(changes, []);
    });
});
