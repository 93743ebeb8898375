import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import type { EndpointStandin } from "../../standins/router/endpointStandin.ts";
import { RouterBench } from "./routerBench.ts";

const nodeCount = 3;
const requestsPerSecond = 36;
/** From this time after an endpoint first named a limit it is held to. */
const settleMilliseconds = 3_000;
const runMilliseconds = 8_000;
const windowMilliseconds = 4_000;
const secondMilliseconds = 1_000;

// Endpoints that named a limit in their answers got two to three times as many requests as before: nobody read it.
describe("An endpoint that limits the requests a second that it takes", () => {
    let bench: RouterBench;

    beforeEach(async () => {
        bench = await RouterBench.create();
    });

    afterEach(() => bench.close());

    /** Sends requests to all nodes by turns, and counts what became of them. */
    async function run(path: string): Promise<Map<number, number>> {
        const statuses = new Map<number, number>();
        const answers: Promise<void>[] = [];
        const startedAt = performance.now();
        for (let count = 0; performance.now() - startedAt < runMilliseconds; count++) {
            const sent = bench.send(bench.nodes[count % nodeCount]!, path).then(({ status }) => {
                statuses.set(status, (statuses.get(status) ?? 0) + 1);
            });
            answers.push(sent);
            await wait(startedAt + (count + 1) * secondMilliseconds / requestsPerSecond - performance.now());
        }
        await Promise.all(answers);
        return statuses;
    }

    async function startNodes(endpoints: number): Promise<void> {
        for (let index = 0; index < nodeCount; index++) {
            await bench.waitForEndpoints(await bench.addNode(), endpoints);
        }
        // Nodes hear of each other.
        await wait(secondMilliseconds);
    }

    /** Gets the most requests that an endpoint got in a window, from when its limit is held to. */
    function getMost({ runs }: EndpointStandin): number {
        const times = runs.map(({ arrivedAt }) => arrivedAt);
        const settled = times.filter(time => time >= times[0]! + settleMilliseconds);
        return Math.max(
            ...settled.map(from => settled.filter(time => time >= from && time < from + windowMilliseconds).length),
        );
    }

    function getAllowed(limit: number): number {
        return 1.5 * limit * windowMilliseconds / secondMilliseconds + 5;
    }

    function assertKept(endpoint: EndpointStandin, limit: number): void {
        const most = getMost(endpoint);
        assert.ok(most <= getAllowed(limit), `${most} requests in ${windowMilliseconds} ms, limit ${limit} a second`);
        const least = limit * windowMilliseconds / secondMilliseconds / 2;
        assert.ok(most >= least, `only ${most} requests in ${windowMilliseconds} ms, limit ${limit} a second`);
    }

    it("gets no more of documents, and the others take the rest", async () => {
        const endpoints = [];
        for (const id of ["d1", "d2", "d3"]) {
            endpoints.push(await bench.addEndpoint(id, "documents"));
        }
        await startNodes(3);
        endpoints[0]!.behaviour = { requestsPerSecond: 2 };
        const statuses = await run("/unsafe/x");
        assertKept(endpoints[0]!, 2);
        assert.deepEqual([...statuses.keys()], [200]);
    });

    it("gets no more of streams, and what none takes is refused at once as not run", async () => {
        const firsts = [];
        for (const id of ["a1", "a2", "a3"]) {
            firsts.push(await bench.addEndpoint(id, "model", { from: 0, to: 4 }));
        }
        await bench.addEndpoint("b1", "model", { from: 4, to: 8 });
        const columns = [{ layers: { start: 0, end: 4 }, kind: "big" }, { layers: { start: 4, end: 8 }, kind: "big" }];
        bench.store.put("foxlead/placement/model", { service: "model", modelName: "m", layers: 8, columns });
        await startNodes(4);
        for (const first of firsts) {
            first.behaviour = { requestsPerSecond: 3.5 };
        }
        const statuses = await run("/model/x");
        for (const first of firsts) {
            assertKept(first, 3.5);
        }
        assert.deepEqual([...statuses.keys()].sort(), [200, 503]);
    });
});
