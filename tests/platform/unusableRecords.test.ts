// Guards against records of other writers that ended each node as soon as it chose one for a request: addresses that only look like
// host:port, and bytes that are not valid UTF-8.
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { events } from "../../src/process/logging/events.ts";
import { createEndpointRecord } from "../../standins/router/createEndpointRecord.ts";
import { waitUntil } from "../support/waitUntil.ts";
import { RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

const layers = { from: 0, to: 8 };
const requestCount = 12;
const unreadableByte = 0xff;
const { endpointRecordInvalid: invalidRecord } = events;

const records: Readonly<Record<string, Record<string, unknown>>> = {
    "a port above 65535": { address: "127.0.0.1:99999" },
    "port 0": { address: "127.0.0.1:0" },
    "a port with leading zeros": { address: "127.0.0.1:00080" },
    "a host that is no IP address": { address: "999.1.1.1:8080" },
    "a host with a space escaped": { address: "a%20b:8080" },
    "a host of too many octets": { address: "127.0.0.1.1:8080" },
    "a replacement character in the address": { address: "127.0.0.\ufffd1:8080" },
    "a replacement character in the data centre": { zone: "a\ufffd" },
    "a control character in the service": { service: "documents\n" },
    "more slots than a number can be added to": { slots: 1e308 },
    "more layers than any model has": { layers: { from: 0, to: Number.MAX_SAFE_INTEGER } },
};

describe("A record that no client can use", () => {
    let harness: RouterTestHarness;
    let nodes: StartedNode[];

    before(async () => {
        harness = await RouterTestHarness.create();
        for (const id of ["1", "2"]) {
            await harness.addEndpoint(`m${id}`, "model", layers);
            await harness.addEndpoint(`d${id}`, "documents");
        }
        harness.putWholePlacement();
        nodes = [await harness.addNode(), await harness.addNode()];
        for (const node of nodes) {
            await harness.waitForEndpoints(node, harness.endpoints.size);
        }
    });

    after(() => harness.close());

    /** Waits until the nodes have rejected a record, and checks that they serve all requests. */
    async function checkService(key: string): Promise<void> {
        for (const { log } of nodes) {
            const isRejected = () =>
                log.fields.some((fields, at) => log.numbers[at] === invalidRecord.number && fields?.["key"] === key);
            await waitUntil(`the record ${key} is rejected`, isRejected);
        }
        for (const node of nodes) {
            const paths = Array.from(
                { length: requestCount },
                (_item, index) => index % 2 === 0 ? "/safe/x" : "/model/x",
            );
            const answers = await Promise.all(paths.map(path => harness.send(node, path)));
            const failed = answers.filter(({ status, isComplete }) => status !== 200 || !isComplete);
            assert.deepEqual(failed, []);
        }
        harness.store.remove(key);
    }

    for (const [index, [name, changes]] of Object.entries(records).entries()) {
        for (const service of ["documents", "model"]) {
            it(`is used for no request of the ${service}: ${name}`, async () => {
                const key = `servers/${service}-${index}`;
                const held = service === "model" ? layers : undefined;
                const record = createEndpointRecord({ service, address: "127.0.0.1:9", layers: held });
                harness.store.put(key, { ...record, ...changes });
                await checkService(key);
            });
        }
    }

    it("is used for no request: a byte of its address is not valid UTF-8", async () => {
        const bytes = Buffer.from(
            JSON.stringify(createEndpointRecord({ service: "documents", address: "127.0.0.?1:9" })),
        );
        bytes[bytes.indexOf("?")] = unreadableByte;
        harness.store.putBytes("servers/bytes", bytes);
        await checkService("servers/bytes");
    });

    it("is used for no request: its id can't be sent in a header", async () => {
        const key = "servers/i\u20ac\n";
        harness.store.put(key, createEndpointRecord({ service: "documents", address: "127.0.0.1:9" }));
        await checkService(key);
    });
});
