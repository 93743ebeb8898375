import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import type { EndpointBehaviour } from "../../standins/router/endpointBehaviour.ts";
import { RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

/** Options of {@link describeHarmfulRequest}. */
interface HarmfulRequestOptions {
    /** Name of the group of tests. */
    name: string;
    /** Path of the requests. */
    path: string;
    service: "documents" | "model";
    /** Body of the harmful requests. */
    body: string;
    /** How the endpoints behave that may run them. */
    behaviour: EndpointBehaviour;
    /** What these endpoints answer. */
    answers?: { events: number; eventMilliseconds: number; };
    /** Time between two requests of the caller, in milliseconds. Default: none. */
    intervalMilliseconds?: number;
    /** Maximum number of endpoints that crash before any is counted late. Default: all. */
    maximumStopped?: number;
}

const endpointCount = 14;
/** Time after a fault by which every node that can reach the platform must react to it. */
const settleMilliseconds = 3_000;
/** How often a request may still be forwarded after it has crashed three endpoints and the nodes had time to learn of it. */
const maximumLateAttempts = 3;

/** Tests that a request that crashes endpoints is held back by all nodes, while others are served. */
export function describeHarmfulRequest(options: HarmfulRequestOptions): void {
    const { name, path, service, body, behaviour, answers } = options;
    const { intervalMilliseconds = 0, maximumStopped = endpointCount } = options;

    describe(name, () => {
        let harness: RouterTestHarness;
        let nodes: StartedNode[];

        before(async () => {
            harness = await RouterTestHarness.create();
            const layers = service === "model" ? { from: 0, to: 4 } : undefined;
            for (let index = 0; index < endpointCount; index++) {
                const endpoint = await harness.addEndpoint(`a${index}`, service, layers, answers);
                endpoint.behaviour = behaviour;
            }
            await harness.addEndpoint("b1", "model", { from: 4, to: 8 });
            harness.putPlacementInHalves();
            nodes = [await harness.addNode(), await harness.addNode()];
            for (const node of nodes) {
                await harness.waitForEndpoints(node, endpointCount + 1);
            }
        });

        after(() => harness.close());

        const sendHarmful = (node: StartedNode) => harness.send(node, path, { body });

        it("is hardly forwarded any more once it has crashed three of them, while other requests are served", async () => {
            for (let turn = 0; harness.countStopped() < 3 && turn < 6; turn++) {
                await sendHarmful(nodes[turn % nodes.length]!);
                await wait(intervalMilliseconds);
            }
            assert.ok(harness.countStopped() <= maximumStopped, `It crashed ${harness.countStopped()} endpoints.`);
            await wait(settleMilliseconds);
            const runsBefore = harness.countRuns(body);
            for (let turn = 0; turn < 6; turn++) {
                const node = nodes[turn % nodes.length]!;
                await sendHarmful(node);
                assert.equal((await harness.send(node, path, { body: `sound ${turn}` })).status, 200);
                await wait(intervalMilliseconds);
            }
            const lateAttempts = harness.countRuns(body) - runsBefore;
            assert.ok(lateAttempts <= maximumLateAttempts, `It was forwarded ${lateAttempts} more times.`);
            for (const node of nodes) {
                const answer = await sendHarmful(node);
                assert.equal(answer.status, 503);
                assert.ok(Number(answer.headers["retry-after"]) > 10, "The retry delay is too short.");
            }
        });
    });
}
