// Guards against cutting a begun stream at once because none of the endpoints that its route allows is listed at that moment: one was silent
// and its record had lapsed, the other one drained and reset its connections. The soak showed it (silenced, displaced). The first one was
// listed and heard again a second later.
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import type { EndpointStandin } from "../../standins/router/endpointStandin.ts";
import { waitUntil } from "../support/waitUntil.ts";
import { RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

const layers = { from: 0, to: 8 };
const stream = { events: 30, eventMilliseconds: 30 };
const silenceMilliseconds = 1_200;
/** Time after the break until the record of the silent endpoint is back, less than callers wait. */
const returnMilliseconds = 500;

describe("A begun stream whose endpoints are not listed for a moment", () => {
    let harness: RouterTestHarness;
    let node: StartedNode;

    before(async () => {
        harness = await RouterTestHarness.create();
        for (const id of ["m1", "m2", "m3"]) {
            await harness.addEndpoint(id, "model", layers, stream);
        }
        harness.putWholePlacement(3);
        node = await harness.addNode();
        await harness.waitForEndpoints(node, 3);
    });

    after(() => harness.close());

    /** Finds the endpoint that runs a request, other than some. */
    async function findRunning(ignored: readonly string[]): Promise<[string, EndpointStandin]> {
        const find = () => [...harness.endpoints].find(([id, { runs }]) => !ignored.includes(id) && runs.length > 0);
        await waitUntil("it runs", () => find() !== undefined);
        return find()!;
    }

    it("goes on once one of them is listed again", { timeout: 20_000 }, async () => {
        const answering = harness.send(node, "/model/x");
        const [firstId, first] = await findRunning([]);
        await wait(4 * stream.eventMilliseconds);
        harness.store.remove(`servers/${firstId}`);
        first.fallSilent(silenceMilliseconds);
        const [secondId, second] = await findRunning([firstId]);
        await wait(4 * stream.eventMilliseconds);
        harness.register(secondId, "model", layers, "draining");
        await wait(50);
        second.resetConnections();
        await wait(returnMilliseconds);
        harness.register(firstId, "model", layers);
        const { status, isComplete } = await answering;
        assert.deepEqual({ status, isComplete }, { status: 200, isComplete: true });
    });
});
