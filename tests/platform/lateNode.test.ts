import assert from "node:assert/strict";
import { once } from "node:events";
import { after, before, describe, it } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { Worker } from "node:worker_threads";
import { callerKey } from "../../standins/router/callerKey.ts";
import type { EndpointStandin } from "../../standins/router/endpointStandin.ts";
import type { LeavingCallersPlan } from "./leavingCallersPlan.ts";
import { RouterBench, type StartedNode } from "./routerBench.ts";

const count = 20;
const busyMilliseconds = 900;
const leaveMilliseconds = 200;

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
        const [host, port] = node.address.split(":");
        const plan: LeavingCallersPlan = {
            host: host!,
            port: Number(port),
            key: callerKey,
            path,
            count,
            keepsConnections,
            leaveMilliseconds,
        };
        const callers = new Worker(new URL("./leavingCallers.ts", import.meta.url), { workerData: plan });
        await once(callers, "message");
        callers.postMessage("leave");
        const end = performance.now() + busyMilliseconds;
        while (performance.now() < end) {
            // The node is late by itself.
        }
        await once(callers, "message");
        await wait(300);
        await callers.terminate();
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
