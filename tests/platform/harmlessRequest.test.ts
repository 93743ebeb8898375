import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

const harmfulBody = "harmful";
const harmlessBody = "harmless";
/** Longer than an endpoint runs the harmful request before it stops. */
const answerMilliseconds = 100;
/** Time by which the harmless request begins earlier, so that the endpoint runs both when it stops. */
const harmlessLeadMilliseconds = 10;
/** Time in which nodes exchange their state several times. */
const gossipMilliseconds = 1_000;

// A harmless request was refused for a minute at the nodes that had not run it yet: the node that had knew that it is safe, and did not tell its
// peers.
describe("A harmless request that was on two endpoints with a request that crashed them", () => {
    let harness: RouterTestHarness;
    let nodes: StartedNode[] = [];

    const waitForEndpoints = async () => {
        for (const node of nodes) {
            await harness.waitForEndpoints(node, harness.endpoints.size);
        }
    };
    const addFirstStage = async (id: string) => {
        const endpoint = await harness.addEndpoint(id, "model", { from: 0, to: 4 });
        endpoint.behaviour = { stopsOnBody: harmfulBody, delayMilliseconds: answerMilliseconds };
        await waitForEndpoints();
    };
    const send = (node: StartedNode, body: string) => harness.send(node, "/model/x", { body });

    before(async () => {
        harness = await RouterTestHarness.create();
        await harness.addEndpoint("b1", "model", { from: 4, to: 8 });
        await addFirstStage("a0");
        harness.putPlacementInHalves();
        nodes = [await harness.addNode(), await harness.addNode()];
        await waitForEndpoints();
    });

    after(() => harness.close());

    it("is served by a node whose peer has run it before", async () => {
        assert.equal((await send(nodes[0]!, harmlessBody)).status, 200);
        for (const [index, next] of ["a1", "a2"].entries()) {
            const harmless = send(nodes[1]!, harmlessBody);
            await wait(harmlessLeadMilliseconds);
            await Promise.all([harmless, send(nodes[1]!, harmfulBody)]);
            assert.ok(harness.endpoints.get(`a${index}`)!.isStopped);
            await addFirstStage(next);
        }
        await wait(gossipMilliseconds);
        assert.equal((await send(nodes[1]!, harmfulBody)).status, 503);
        for (const [index, node] of nodes.entries()) {
            const { status, body } = await send(node, harmlessBody);
            assert.equal(status, 200, `At node ${index}: ${body}`);
        }
    });
});
