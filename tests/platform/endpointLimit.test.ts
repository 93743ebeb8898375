import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import type { EndpointStandin } from "../../standins/router/endpointStandin.ts";
import { RouterTestHarness } from "./routerTestHarness.ts";

const nodeCount = 3;
const requestsPerSecond = 36;
/** Time after an endpoint first reported a limit from which the limit must be respected. */
const settleMilliseconds = 3_000;
const runMilliseconds = 8_000;
const windowMilliseconds = 4_000;
const millisecondsPerSecond = 1_000;

// Guards against ignoring the rate limit that endpoints report in their responses: they got two to three times as many requests.
describe("An endpoint with a rate limit", () => {
    let harness: RouterTestHarness;

    beforeEach(async () => {
        harness = await RouterTestHarness.create();
    });

    afterEach(() => harness.close());

    /** Sends requests to all nodes in turn and counts the status codes. */
    async function run(path: string): Promise<Map<number, number>> {
        const statuses = new Map<number, number>();
        const answers: Promise<void>[] = [];
        const startedAt = performance.now();
        for (let count = 0; performance.now() - startedAt < runMilliseconds; count++) {
            const sent = harness.send(harness.nodes[count % nodeCount]!, path).then(({ status }) => {
                statuses.set(status, (statuses.get(status) ?? 0) + 1);
            });
            answers.push(sent);
            await wait(startedAt + (count + 1) * millisecondsPerSecond / requestsPerSecond - performance.now());
        }
        await Promise.all(answers);
        return statuses;
    }

    async function startNodes(endpoints: number): Promise<void> {
        for (let index = 0; index < nodeCount; index++) {
            await harness.waitForEndpoints(await harness.addNode(), endpoints);
        }
        // Gives the nodes time to discover each other.
        await wait(millisecondsPerSecond);
    }

    /** Gets the maximum number of requests that an endpoint got in a window after the settle time. */
    function getMaximumInWindow({ runs }: EndpointStandin): number {
        const times = runs.map(({ arrivedAt }) => arrivedAt);
        const settled = times.filter(time => time >= times[0]! + settleMilliseconds);
        return Math.max(
            ...settled.map(from => settled.filter(time => time >= from && time < from + windowMilliseconds).length),
        );
    }

    function getAllowed(limit: number): number {
        return 1.5 * limit * windowMilliseconds / millisecondsPerSecond + 5;
    }

    function assertRespected(endpoint: EndpointStandin, limit: number): void {
        const maximum = getMaximumInWindow(endpoint);
        assert.ok(
            maximum <= getAllowed(limit),
            `${maximum} requests in ${windowMilliseconds} ms, limit ${limit} per second`,
        );
        const minimum = limit * windowMilliseconds / millisecondsPerSecond / 2;
        assert.ok(
            maximum >= minimum,
            `only ${maximum} requests in ${windowMilliseconds} ms, limit ${limit} per second`,
        );
    }

    it("gets no more document requests than its limit, and the others get the rest", async () => {
        const endpoints = [];
        for (const id of ["d1", "d2", "d3"]) {
            endpoints.push(await harness.addEndpoint(id, "documents"));
        }
        await startNodes(3);
        endpoints[0]!.behaviour = { requestsPerSecond: 2 };
        const statuses = await run("/unsafe/x");
        assertRespected(endpoints[0]!, 2);
        assert.deepEqual([...statuses.keys()], [200]);
    });

    it("gets no more streams than its limit, and the excess is rejected at once as not run", async () => {
        const firsts = [];
        for (const id of ["a1", "a2", "a3"]) {
            firsts.push(await harness.addEndpoint(id, "model", { from: 0, to: 4 }));
        }
        await harness.addEndpoint("b1", "model", { from: 4, to: 8 });
        harness.putPlacementInHalves();
        await startNodes(4);
        for (const first of firsts) {
            first.behaviour = { requestsPerSecond: 3.5 };
        }
        const statuses = await run("/model/x");
        for (const first of firsts) {
            assertRespected(first, 3.5);
        }
        assert.deepEqual([...statuses.keys()].sort(), [200, 503]);
    });
});
