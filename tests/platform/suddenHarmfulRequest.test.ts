// Guards against a request that crashes endpoints as soon as it arrives, and was never held back: a crash that follows at once was taken for
// one from before the request arrived.
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

const harmfulBody = "harmful";
const endpoints = 14;
/** How many of them a single request may crash, or several within half a second. */
const maximumStopped = 6;
/** Time between two requests of the caller. */
const intervalMilliseconds = 700;
/** Time after a fault by which every node that can reach the platform must react to it. */
const settleMilliseconds = 3_000;
/** How often a request may still be forwarded after it has crashed three endpoints and the nodes had time to learn of it. */
const maximumLateAttempts = 3;

for (const [path, service] of [["/model/x", "model"], ["/safe/x", "documents"]] as const) {
    describe(`A request of ${path} that crashes endpoints as soon as it arrives`, () => {
        let harness: RouterTestHarness;
        let nodes: StartedNode[];

        before(async () => {
            harness = await RouterTestHarness.create();
            const layers = service === "model" ? { from: 0, to: 4 } : undefined;
            for (let index = 0; index < endpoints; index++) {
                const endpoint = await harness.addEndpoint(`a${index}`, service, layers);
                endpoint.behaviour = { stopsOnBody: harmfulBody, stopsSuddenly: true };
            }
            await harness.addEndpoint("b1", "model", { from: 4, to: 8 });
            harness.putPlacementInHalves();
            nodes = [await harness.addNode(), await harness.addNode()];
            for (const node of nodes) {
                await harness.waitForEndpoints(node, endpoints + 1);
            }
        });

        after(() => harness.close());

        const sendHarmful = (node: StartedNode) => harness.send(node, path, { body: harmfulBody });

        it("is hardly forwarded any more once it has crashed three of them, while other requests are served", async () => {
            for (let turn = 0; harness.countStopped() < 3 && turn < 6; turn++) {
                await sendHarmful(nodes[turn % nodes.length]!);
                await wait(intervalMilliseconds);
            }
            assert.ok(harness.countStopped() <= maximumStopped, `It crashed ${harness.countStopped()} endpoints.`);
            await wait(settleMilliseconds);
            const runsBefore = harness.countRuns(harmfulBody);
            for (let turn = 0; turn < 6; turn++) {
                const node = nodes[turn % nodes.length]!;
                await sendHarmful(node);
                assert.equal((await harness.send(node, path, { body: `sound ${turn}` })).status, 200);
                await wait(intervalMilliseconds);
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
