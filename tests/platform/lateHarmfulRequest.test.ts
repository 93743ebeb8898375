// Guards against a request that crashes endpoints some time after they have begun to answer it, and was never held back: the first events
// counted for good as a proof that it is harmless.
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

const harmfulBody = "harmful";
const firstStages = 14;
const events = 60;
const eventMilliseconds = 30;
/** Longer than the time after which a request that has begun to run counts as harmless for the start of endpoints. */
const crashMilliseconds = 600;
/** Time after a fault by which every node that can reach the platform must react to it. */
const settleMilliseconds = 3_000;
/** How often a request may still be forwarded after it has crashed three endpoints and the nodes had time to learn of it. */
const maximumLateAttempts = 3;

for (const path of ["/model/x", "/once/x"]) {
    describe(`A request of ${path} that crashes endpoints some time after they have begun to answer it`, () => {
        let harness: RouterTestHarness;
        let nodes: StartedNode[];

        before(async () => {
            harness = await RouterTestHarness.create();
            for (let index = 0; index < firstStages; index++) {
                const options = { events, eventMilliseconds };
                const endpoint = await harness.addEndpoint(`a${index}`, "model", { from: 0, to: 4 }, options);
                endpoint.behaviour = { stopsAfterAnswering: { body: harmfulBody, milliseconds: crashMilliseconds } };
            }
            await harness.addEndpoint("b1", "model", { from: 4, to: 8 });
            harness.putPlacementInHalves();
            nodes = [await harness.addNode(), await harness.addNode()];
            for (const node of nodes) {
                await harness.waitForEndpoints(node, firstStages + 1);
            }
        });

        after(() => harness.close());

        const sendHarmful = (node: StartedNode) => harness.send(node, path, { body: harmfulBody });

        it("is hardly forwarded any more once it has crashed three of them, while other requests are served", async () => {
            for (let turn = 0; harness.countStopped() < 3 && turn < 6; turn++) {
                await sendHarmful(nodes[turn % nodes.length]!);
            }
            await wait(settleMilliseconds);
            const runsBefore = harness.countRuns(harmfulBody);
            for (let turn = 0; turn < 6; turn++) {
                const node = nodes[turn % nodes.length]!;
                await sendHarmful(node);
                assert.equal((await harness.send(node, path, { body: `sound ${turn}` })).status, 200);
            }
            const lateAttempts = harness.countRuns(harmfulBody) - runsBefore;
            assert.ok(lateAttempts <= maximumLateAttempts, `It was forwarded ${lateAttempts} more times.`);
            for (const node of nodes) {
                const answer = await sendHarmful(node);
                assert.equal(answer.status, 503);
                assert.ok(Number(answer.headers["retry-after"]) > 10, "The retry delay is too short.");
            }
        });
    });
}
