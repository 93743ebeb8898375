// Guards against a harmless request that is held back, and cut although its answer has begun, because two connections broke on which it ran:
// their endpoints were taken for crashed although they went on.
import assert from "node:assert/strict";
import { after, afterEach, before, describe, it } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import type { EndpointStandin } from "../../standins/router/endpointStandin.ts";
import { waitUntil } from "../support/waitUntil.ts";
import { type CallerAnswer, RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

const stream = { events: 20, eventMilliseconds: 20 };
const streamCount = 6;
/** Longer than a connection lives whose endpoint had crashed before, and shorter than a run that shows that the request is harmless. */
const runMilliseconds = 60;
const allIds = Array.from({ length: stream.events }, (_, index) => index + 1);

describe("Requests whose connections break at endpoints that go on", () => {
    let harness: RouterTestHarness;
    let node: StartedNode;
    const models: EndpointStandin[] = [];
    const documents: EndpointStandin[] = [];

    before(async () => {
        harness = await RouterTestHarness.create();
        for (const index of [1, 2, 3, 4]) {
            models.push(await harness.addEndpoint(`m${index}`, "model", { from: 0, to: 8 }, stream));
            documents.push(await harness.addEndpoint(`d${index}`, "documents"));
        }
        harness.putWholePlacement(models.length);
        node = await harness.addNode();
        await harness.addNode();
        for (const started of harness.nodes) {
            await harness.waitForEndpoints(started, harness.endpoints.size);
        }
    });

    afterEach(() => {
        for (const endpoint of harness.endpoints.values()) {
            endpoint.behaviour = {};
            endpoint.runs.length = 0;
        }
    });

    after(() => harness.close());

    /** Sends equal requests at once, and breaks their connections at several endpoints when they have run for some time. */
    async function sendBroken(path: string, endpoints: EndpointStandin[]): Promise<CallerAnswer[]> {
        const body = `repeated ${path}`;
        const answers = Array.from({ length: streamCount }, () => harness.send(node, path, { body }));
        await waitUntil("the requests run", () => harness.countRuns(body) === streamCount);
        assert.ok(endpoints.filter(({ runs }) => runs.length > 0).length > 1, "One endpoint runs all of them.");
        await wait(runMilliseconds);
        for (const endpoint of endpoints) {
            endpoint.resetConnections();
        }
        return Promise.all(answers);
    }

    it("are whole if they are streams, and are not refused later", async () => {
        for (const { body, isComplete } of await sendBroken("/model/x", models)) {
            const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
            assert.deepEqual([ids, isComplete], [allIds, true]);
        }
        for (const started of harness.nodes) {
            assert.equal((await harness.send(started, "/model/x", { body: "repeated /model/x" })).status, 200);
        }
    });

    it("are answered if they are documents, and are not refused later", async () => {
        for (const endpoint of documents) {
            endpoint.behaviour = { delayMilliseconds: 2 * runMilliseconds };
        }
        for (const { status } of await sendBroken("/safe/x", documents)) {
            assert.equal(status, 200);
        }
        for (const started of harness.nodes) {
            assert.equal((await harness.send(started, "/safe/x", { body: "repeated /safe/x" })).status, 200);
        }
    });
});
