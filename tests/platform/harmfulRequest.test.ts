// Callers sent one request again and again, each time under a new id and to any node. Every endpoint that began to run it ended some
// 70 ms later, with all other streams that passed through it: eight in twelve seconds, and no endpoint was left that chains begin with.
// Within a sending, endpoints that were gone didn't count against the route's limit, and beyond it nothing was remembered, so that each
// repeat took one endpoint more. Played here without the quarantine, six lines FL1711 of three sendings have the same fingerprint, each
// "the connection to the first stage failed (other side closed)" at another endpoint, with memoryPart=0 and eventMilliseconds=0: the
// endpoints weren't overfull, and what they had just begun to run was always this request.
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
/** Nodes exchange what they know several times in this time. */
const newsMilliseconds = 1_000;

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

    it("is refused as not run by every node, also by one that has just started, and other requests are served", async () => {
        const runsBefore = countRuns();
        nodes.push(await bench.addNode());
        const newest = nodes.at(-1)!;
        await bench.waitForEndpoints(newest, firstStages + 1);
        await wait(newsMilliseconds);
        for (const node of nodes) {
            const answer = await sendHarmful(node);
            assert.equal(answer.status, 503);
            assert.ok(Number(answer.headers["retry-after"]) > 10, "There is no use in coming back soon.");
            assert.equal((await bench.send(node, "/model/x", { body: "sound" })).status, 200);
        }
        assert.equal(countRuns(), runsBefore);
    });

    it("is still refused after all nodes have ended, so that none of them remembers", async () => {
        const runsBefore = countRuns();
        await bench.stopNodes();
        const node = await bench.addNode();
        await bench.waitForEndpoints(node, firstStages + 1);
        await wait(newsMilliseconds);
        assert.equal((await sendHarmful(node)).status, 503);
        assert.equal(countRuns(), runsBefore);
    });
});
