// Guards against a request that crashes every endpoint that runs it, about 70 ms after the start, together with all other streams of
// that endpoint. Callers repeat it under new ids at any node, so the limit of attempts per request does not stop it: eight endpoints
// crashed within twelve seconds and no first stage was left. Crashed endpoints did not count against the limit either. Without the
// quarantine, six FL1711 log lines from three attempts have the same fingerprint, each "the connection to the first stage failed (other
// side closed)" at another endpoint, with memoryPart=0 and eventMilliseconds=0: the endpoints were not out of memory and had just begun
// to run this request.
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

const harmfulBody = "harmful";
const firstStages = 12;
/** Time after a fault by which every node that can reach the platform must react to it. */
const settleMilliseconds = 3_000;
/** How often a request may still be forwarded after it has crashed three endpoints and the nodes had time to learn of it. */
const maximumLateAttempts = 3;
/** Time in which nodes exchange their state several times. */
const gossipMilliseconds = 1_000;

describe("A request that crashes the endpoints that run it", () => {
    let harness: RouterTestHarness;
    let nodes: StartedNode[];

    before(async () => {
        harness = await RouterTestHarness.create();
        for (let index = 0; index < firstStages; index++) {
            const endpoint = await harness.addEndpoint(`a${index}`, "model", { from: 0, to: 4 });
            endpoint.behaviour = { stopsOnBody: harmfulBody };
        }
        await harness.addEndpoint("b1", "model", { from: 4, to: 8 });
        harness.putPlacementInHalves();
        nodes = [await harness.addNode(), await harness.addNode()];
        for (const node of nodes) {
            await harness.waitForEndpoints(node, firstStages + 1);
        }
    });

    after(() => harness.close());

    const sendHarmful = (node: StartedNode) => harness.send(node, "/model/x", { body: harmfulBody });

    it("is hardly forwarded any more once it has crashed three of them", async () => {
        let turn = 0;
        while (harness.countStopped() < 3 && turn < 6) {
            await sendHarmful(nodes[turn % nodes.length]!);
            turn += 1;
        }
        await wait(settleMilliseconds);
        const runsBefore = harness.countRuns(harmfulBody);
        for (let count = 0; count < 6; count++) {
            await sendHarmful(nodes[count % nodes.length]!);
        }
        const lateAttempts = harness.countRuns(harmfulBody) - runsBefore;
        assert.ok(lateAttempts <= maximumLateAttempts, `It was forwarded ${lateAttempts} more times.`);
    });

    it("is rejected as not run by every node, including one that has just started, while other requests are served", async () => {
        const runsBefore = harness.countRuns(harmfulBody);
        nodes.push(await harness.addNode());
        const newest = nodes.at(-1)!;
        await harness.waitForEndpoints(newest, firstStages + 1);
        await wait(gossipMilliseconds);
        for (const node of nodes) {
            const answer = await sendHarmful(node);
            assert.equal(answer.status, 503);
            assert.ok(Number(answer.headers["retry-after"]) > 10, "The retry delay is too short.");
            assert.equal((await harness.send(node, "/model/x", { body: "sound" })).status, 200);
        }
        assert.equal(harness.countRuns(harmfulBody), runsBefore);
    });

    it("is still rejected after all nodes have been replaced", async () => {
        const runsBefore = harness.countRuns(harmfulBody);
        await harness.stopNodes();
        const node = await harness.addNode();
        await harness.waitForEndpoints(node, firstStages + 1);
        await wait(gossipMilliseconds);
        assert.equal((await sendHarmful(node)).status, 503);
        assert.equal(harness.countRuns(harmfulBody), runsBefore);
    });
});
