import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

const impossibleRequests = 2;
const ordinaryRequests = 5;

// Guards against estimates that are infinite, or no numbers, for good after a request with such counts.
describe("Requests with more tokens than any endpoint holds", () => {
    let harness: RouterTestHarness;
    let node: StartedNode;

    before(async () => {
        harness = await RouterTestHarness.create();
        await harness.addReplicas(2);
        node = await harness.addNode();
        await harness.waitForEndpoints(node, 6);
    });

    after(() => harness.close());

    for (const counts of ["1e308,1e308", "1e300,1", "1,1e300", "1e15,1e15", "1e9,1e9", "150000,10", "10000,10"]) {
        it(`don't keep a node from serving others, with ${counts}`, async () => {
            for (let count = 0; count < impossibleRequests; count += 1) {
                const headers = { "token-counts": counts, "request-deadline-ms": "1500" };
                await harness.send(node, "/model/x", { headers });
            }
            for (let count = 0; count < ordinaryRequests; count += 1) {
                const headers = { "token-counts": "10,5" };
                const { status } = await harness.send(node, "/model/x", { headers });
                assert.equal(status, 200);
            }
        });
    }
});
