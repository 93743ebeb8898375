import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { callerKey } from "../../standins/router/callerKey.ts";
import type { EndpointStandin } from "../../standins/router/endpointStandin.ts";
import { leaveWhileBusy } from "../support/leaveWhileBusy.ts";
import { RouterBench, type StartedNode } from "./routerBench.ts";

const count = 20;

// Callers gave a node up that had been busy with itself for a second, and it sent their requests on all the same: request and close lay
// together in the connection, and the request was sent before the close was read.
describe("Requests whose callers left while the node was late", () => {
    let bench: RouterBench;
    let node: StartedNode;
    let endpoints: EndpointStandin[];

    before(async () => {
        bench = await RouterBench.create();
        endpoints = [
            await bench.addEndpoint("d1", "documents"),
            await bench.addEndpoint("a1", "model", { from: 0, to: 4 }),
            await bench.addEndpoint("b1", "model", { from: 4, to: 8 }),
        ];
        const columns = [{ layers: { start: 0, end: 4 }, kind: "big" }, { layers: { start: 4, end: 8 }, kind: "big" }];
        bench.store.put("foxlead/placement/model", { service: "model", modelName: "m", layers: 8, columns });
        node = await bench.addNode();
        await bench.waitForEndpoints(node, 3);
    });

    after(() => bench.close());

    async function countSentOn(path: string, keepsConnections: boolean): Promise<number> {
        await leaveWhileBusy({ address: node.address, key: callerKey, path, count, keepsConnections });
        const isLeft = ({ id }: { id: string; }) => id.startsWith("left-");
        return endpoints.reduce((sum, { runs }) => sum + runs.splice(0).filter(isLeft).length, 0);
    }

    it("go to no endpoint", async () => {
        const sentOn: Record<string, number> = {};
        for (const path of ["/model/x", "/once/x", "/safe/x", "/unsafe/x"]) {
            sentOn[`${path} new`] = await countSentOn(path, false);
            sentOn[`${path} kept`] = await countSentOn(path, true);
        }
        assert.deepEqual(Object.entries(sentOn).filter(([, sent]) => sent > 0), []);
    });
});
