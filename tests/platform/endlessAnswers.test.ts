// Guards against endpoints that send bytes that are no answer and never end: they filled the memory of a node within a second, kept
// requests waiting until their deadlines, and took all of a link.
import assert from "node:assert/strict";
import { after, afterEach, before, describe, it } from "node:test";
import { bodyBoundsOfUse } from "../../src/connection/upstream/bodyBoundsOfUse.ts";
import { createEndpointRecord } from "../../standins/router/createEndpointRecord.ts";
import { EndlessEndpoint } from "../../standins/router/endlessEndpoint.ts";
import type { EndlessForm } from "../../standins/router/endlessForm.ts";
import { endlessForms } from "../../standins/router/endlessForms.ts";
import { waitUntil } from "../support/waitUntil.ts";
import { type CallerAnswer, RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

const layers = { from: 0, to: 8 };
/** Requests at a time, more than the sound endpoints for documents take at once. Each one for the model takes them all. */
const requestCount = 16;
const maximumRounds = 20;
/** What a node reads, and what the sockets of both ends hold beside it. */
const maximumBytes = 8_000_000;
/** Forms that look like the body of a document until they are too long. */
const keptForms: readonly string[] = ["event", "comments"];
/** A node closes the connection before this time, with some reserve for a busy machine. */
const maximumMilliseconds = 2_900;
const slowIntervalMilliseconds = 100;
const slowForms = {
    emptyLines: { createStart: () => "", createNext: () => "\r\n" },
    failure: { createStart: id => endlessForms.failure.createStart(id), createNext: () => "1\r\nx\r\n" },
} as const satisfies Record<string, EndlessForm>;
const headers = { "request-deadline-ms": "6000" };

describe("Endpoints whose bytes never end", () => {
    let harness: RouterTestHarness;
    let node: StartedNode;
    let endless: EndlessEndpoint | undefined;
    let endlessCount = 0;

    before(async () => {
        harness = await RouterTestHarness.create();
        for (const id of ["1", "2"]) {
            const model = await harness.addEndpoint(`m${id}`, "model", layers, { events: 10 });
            // Nodes prefer the endless endpoint, though they have no connection to it yet.
            model.behaviour = { slowness: 8 };
            const record = {
                service: "model",
                address: model.getAddress(),
                layers,
                born: model.born,
                slots: requestCount,
            };
            harness.store.put(`servers/m${id}`, createEndpointRecord(record));
            await harness.addEndpoint(`d${id}`, "documents");
        }
        harness.putWholePlacement();
        node = await harness.addNode();
        await harness.waitForEndpoints(node, harness.endpoints.size);
    });

    afterEach(async () => {
        harness.store.remove(`servers/endless-${endlessCount}`);
        await endless?.close();
        await harness.waitForEndpoints(node, harness.endpoints.size);
    });

    after(() => harness.close());

    /** Starts an endless endpoint beside two sound ones, and sends requests of which some reach it. */
    async function sendBeside(
        service: string,
        path: string,
        options: { form: EndlessForm; intervalMilliseconds?: number; },
    ) {
        endless = await EndlessEndpoint.create(options);
        const address = endless.getAddress();
        const held = service === "model" ? layers : undefined;
        endlessCount += 1;
        harness.store.put(`servers/endless-${endlessCount}`, createEndpointRecord({ service, address, layers: held }));
        await harness.waitForEndpoints(node, harness.endpoints.size + 1);
        const answers: CallerAnswer[] = [];
        const { connections } = endless;
        const hasRequest = () => connections.some(({ requestId }) => requestId !== "");
        for (let round = 0; round < maximumRounds && !hasRequest(); round++) {
            const sending = Array.from({ length: requestCount }, () => harness.send(node, path, { headers }));
            answers.push(...await Promise.all(sending));
        }
        await waitUntil(
            "its connections are closed",
            () => connections.every(({ milliseconds }) => milliseconds !== undefined),
        );
        assert.ok(hasRequest(), "The endpoint got no request.");
        return { answers, connections };
    }

    function assertServed(answers: readonly CallerAnswer[]): void {
        const failures = answers.filter(({ status, isComplete }) => status !== 200 || !isComplete);
        assert.deepEqual(failures.map(({ status }) => status), []);
    }

    for (const [name, form] of Object.entries<EndlessForm>(endlessForms)) {
        for (const [service, path] of [["documents", "/safe/x"], ["model", "/model/x"]] as const) {
            it(`cost the ${service} neither memory nor time: ${name}`, async () => {
                const { answers, connections } = await sendBeside(service, path, { form });
                assertServed(answers);
                const bytes = Math.max(...connections.map(connection => connection.bytes));
                const milliseconds = Math.max(...connections.map(connection => connection.milliseconds ?? Infinity));
                const isKept = service === "documents" && keptForms.includes(name);
                const allowedBytes = maximumBytes + (isKept ? bodyBoundsOfUse.kept.maximumBytes : 0);
                assert.ok(bytes < allowedBytes, `A connection took ${bytes} bytes.`);
                assert.ok(milliseconds < maximumMilliseconds, `A connection was open for ${milliseconds} ms.`);
            });
        }
    }

    for (const [name, form] of Object.entries<EndlessForm>(slowForms)) {
        it(`keep no connection if their bytes are few: ${name}`, async () => {
            const intervalMilliseconds = slowIntervalMilliseconds;
            // These requests aren't hedged, so that only the endless endpoint can answer them.
            const { connections } = await sendBeside("documents", "/unsafe/x", { form, intervalMilliseconds });
            const milliseconds = Math.max(...connections.map(connection => connection.milliseconds ?? Infinity));
            assert.ok(milliseconds < maximumMilliseconds, `A connection was open for ${milliseconds} ms.`);
        });
    }
});
