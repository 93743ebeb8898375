// Callers sent one request again and again, each time under a new id and to any node. Every endpoint that began to run it ended some
// 70 ms later, with all other streams that passed through it: eight in twelve seconds, and no endpoint was left that chains begin with.
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { RouterBench, type StartedNode } from "./routerBench.ts";

const harmfulBody = "harmful";
const firstStages = 12;
/** By this time after a fault, every node that reaches the platform has to act on it. */
const settleMilliseconds = 3_000;
/** So often may a request be sent on after it has ended three endpoints and the nodes had time to know. */
const mostLateSendings = 3;

describe("A request that ends the endpoints which run it", () => {
    let bench: RouterBench;
    let nodes: StartedNode[];

    before(async () => {
        bench = await RouterBench.create();
        for (let index = 0; index < firstStages; index++) {
            const endpoint = await bench.addEndpoint(`a${index}`, "model", { from: 0, to: 4 });
            endpoint.behaviour = { endsOnBody: harmfulBody };
        }
        await bench.addEndpoint("b1", "model", { from: 4, to: 8 });
        const columns = [{ layers: { start: 0, end: 4 }, kind: "big" }, { layers: { start: 4, end: 8 }, kind: "big" }];
        bench.store.put("foxlead/placement/model", { service: "model", modelName: "m", layers: 8, columns });
        nodes = [await bench.addNode(), await bench.addNode()];
        for (const node of nodes) {
            await bench.waitForEndpoints(node, firstStages + 1);
        }
    });

    after(() => bench.close());

    const countRuns = () =>
        [...bench.endpoints.values()].flatMap(({ runs }) => runs).filter(({ body }) => body === harmfulBody).length;
    const countEnded = () => [...bench.endpoints.values()].filter(({ hasEnded }) => hasEnded).length;
    const sendHarmful = (node: StartedNode) => bench.send(node, "/model/x", { body: harmfulBody });

    it("is hardly sent on any more once it has ended three of them", async () => {
        let turn = 0;
        while (countEnded() < 3 && turn < 6) {
            await sendHarmful(nodes[turn % nodes.length]!);
            turn += 1;
        }
        await wait(settleMilliseconds);
        const sentBefore = countRuns();
        for (let count = 0; count < 6; count++) {
            await sendHarmful(nodes[count % nodes.length]!);
        }
        const lateSendings = countRuns() - sentBefore;
        assert.ok(lateSendings <= mostLateSendings, `It was sent on ${lateSendings} times more.`);
    });
});
