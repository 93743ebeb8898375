// Guards against begun streams that wait until their callers leave, because their own node has no retry left while other nodes have theirs.
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { events } from "../../src/process/logging/events.ts";
import type { EndpointStandin } from "../../standins/router/endpointStandin.ts";
import { waitUntil } from "../support/waitUntil.ts";
import { RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

const stream = { events: 20, eventMilliseconds: 20 };
/** Retries of all nodes: a node has a fifth of one when it starts, and gets less than a hundredth back in a second. */
const scarceRepeats = 6;
const maximumWaitMilliseconds = 1_000;
const okStatus = 200;

describe("A begun stream whose node has used up its retries", () => {
    let harness: RouterTestHarness;
    let scarceNode: StartedNode;
    let ampleNode: StartedNode;
    let models: EndpointStandin[];

    before(async () => {
        harness = await RouterTestHarness.create();
        models = [];
        for (const id of ["m1", "m2", "m3"]) {
            models.push(await harness.addEndpoint(id, "model", { from: 0, to: 8 }, stream));
        }
        harness.putWholePlacement(models.length);
        ampleNode = await harness.addNode();
        harness.repeatSlack = scarceRepeats;
        scarceNode = await harness.addNode();
        for (const node of [scarceNode, ampleNode]) {
            await harness.waitForEndpoints(node, harness.endpoints.size);
        }
    });

    after(() => harness.close());

    it("continues with a retry of another node, and nothing is asked before", async () => {
        const numbersOf = ({ log }: StartedNode) => log.numbers;
        const answering = harness.send(scarceNode, "/model/x");
        await waitUntil("the stream runs", () => models.some(({ runs }) => runs.length > 0));
        await wait(stream.eventMilliseconds * 3);
        assert.ok(!numbersOf(scarceNode).includes(events.retriesAsked.number));
        const brokenAt = performance.now();
        models.find(({ runs }) => runs.length > 0)!.resetConnections();
        const { status, isComplete, body } = await answering;
        assert.equal(status, okStatus);
        assert.ok(isComplete, "The answer was cut.");
        const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
        assert.deepEqual(ids, Array.from({ length: stream.events }, (_, index) => index + 1));
        const milliseconds = performance.now() - brokenAt;
        assert.ok(milliseconds < maximumWaitMilliseconds, `It took ${milliseconds} ms.`);
        assert.ok(numbersOf(scarceNode).includes(events.retriesReceived.number));
        assert.ok(numbersOf(ampleNode).includes(events.retriesGranted.number));
    });
});
