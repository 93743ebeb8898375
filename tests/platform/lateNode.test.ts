import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { callerKey } from "../../standins/router/callerKey.ts";
import type { EndpointStandin } from "../../standins/router/endpointStandin.ts";
import { leaveWhileBusy } from "../support/leaveWhileBusy.ts";
import { RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

const count = 20;

// Guards against forwarding requests whose callers have disconnected. When the event loop of a node is blocked, a request and the end
// of its connection arrive together, and the request was forwarded before the end was read.
describe("Requests whose callers disconnected while the node was blocked", () => {
    let harness: RouterTestHarness;
    let node: StartedNode;
    let endpoints: EndpointStandin[];

    before(async () => {
        harness = await RouterTestHarness.create();
        endpoints = [
            await harness.addEndpoint("d1", "documents"),
            await harness.addEndpoint("a1", "model", { from: 0, to: 4 }),
            await harness.addEndpoint("b1", "model", { from: 4, to: 8 }),
        ];
        harness.putPlacementInHalves();
        node = await harness.addNode();
        await harness.waitForEndpoints(node, 3);
    });

    after(() => harness.close());

    async function countForwarded(path: string, keepsConnections: boolean): Promise<number> {
        await leaveWhileBusy({ address: node.address, key: callerKey, path, count, keepsConnections });
        const isAbandoned = ({ id }: { id: string; }) => id.startsWith("left-");
        return endpoints.reduce((sum, { runs }) => sum + runs.splice(0).filter(isAbandoned).length, 0);
    }

    it("are not forwarded to any endpoint", async () => {
        const sentOn: Record<string, number> = {};
        for (const path of ["/model/x", "/once/x", "/safe/x", "/unsafe/x"]) {
            sentOn[`${path} new`] = await countForwarded(path, false);
            sentOn[`${path} kept`] = await countForwarded(path, true);
        }
        assert.deepEqual(Object.entries(sentOn).filter(([, sent]) => sent > 0), []);
    });
});
