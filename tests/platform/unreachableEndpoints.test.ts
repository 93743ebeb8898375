import assert from "node:assert/strict";
import { after, afterEach, before, describe, it } from "node:test";
import { events } from "../../src/process/logging/events.ts";
import { stopRouter } from "../../src/process/router/stopRouter.ts";
import { systemClock } from "../../src/process/systemClock.ts";
import { LinkCut } from "../../standins/network/linkCut.ts";
import { waitUntil } from "../support/waitUntil.ts";
import { type CallerAnswer, RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

/** Time from the cut after which the node must serve as well as the others, in milliseconds. */
const settleMilliseconds = 3_000;
const restoreMilliseconds = 2_000;
const requestIntervalMilliseconds = 40;
const requestsPerPath = 12;
const paths = ["/safe/x", "/unsafe/x", "/model/x", "/once/x"];
const cuts = [LinkCut.Silent, LinkCut.Reset, LinkCut.RefuseNew];

describe("A node without links to the endpoints", () => {
    let harness: RouterTestHarness;
    let nodes: StartedNode[];

    before(async () => {
        harness = await RouterTestHarness.create();
        await harness.addReplicas(2);
        nodes = [];
        for (let count = 0; count < 3; count++) {
            nodes.push(await harness.addNode(undefined, await harness.createLinks()));
        }
        for (const node of nodes) {
            await harness.waitForEndpoints(node, 6);
        }
    });

    afterEach(async () => {
        for (const { links } of nodes) {
            links.setCut(LinkCut.None);
        }
        await delay(restoreMilliseconds);
        assert.deepEqual(listRepeatedRuns(), []);
    });

    after(() => harness.close());

    /** Lists the requests that must not be repeated and were run more than once. */
    function listRepeatedRuns(): string[] {
        const seen = new Set<string>();
        const repeated: string[] = [];
        for (const { url, headers } of [...harness.endpoints.values()].flatMap(({ runs }) => runs)) {
            const id = String(headers["request-id"]);
            if (!url.startsWith("/safe/") && !url.startsWith("/model/") && seen.size === seen.add(id).size) {
                repeated.push(id);
            }
        }
        return repeated;
    }

    /** Sends requests of each kind at a steady rate, and returns the statuses of the incomplete or failed answers. */
    async function listFailures(node: StartedNode): Promise<number[]> {
        const sending: Promise<CallerAnswer>[] = [];
        for (let count = 0; count < requestsPerPath; count++) {
            for (const path of paths) {
                sending.push(harness.send(node, path, { headers: { "request-deadline-ms": "2000" } }));
            }
            await delay(requestIntervalMilliseconds);
        }
        const answers = await Promise.all(sending);
        return answers.filter(({ status, isComplete }) => status !== 200 || !isComplete).map(({ status }) => status);
    }

    // Callers got 503 or no answer for as long as a node had no links to the endpoints, although its peers could reach them.
    it("serves its callers through its peers", async () => {
        const [node] = nodes;
        for (const cut of cuts) {
            assert.deepEqual(await listFailures(node!), []);
            node!.links.setCut(cut);
            // Callers keep coming while the cut is detected.
            await Promise.all([listFailures(node!), delay(settleMilliseconds)]);
            assert.deepEqual(await listFailures(node!), [], cut);
            assert.ok(node!.log.numbers.includes(events.endpointPathLost.number));
            node!.links.setCut(LinkCut.None);
            await delay(restoreMilliseconds);
        }
    });

    it("serves its callers through the peer that is left if most nodes are cut off", async () => {
        for (const { links } of nodes.slice(0, 2)) {
            links.setCut(LinkCut.Reset);
        }
        await Promise.all([listFailures(nodes[0]!), listFailures(nodes[1]!), delay(settleMilliseconds)]);
        assert.deepEqual(await listFailures(nodes[0]!), []);
        assert.deepEqual(await listFailures(nodes[1]!), []);
    });

    it("ends the run of a caller that leaves, and of no other", async () => {
        const [node] = nodes;
        node!.links.setCut(LinkCut.Reset);
        await Promise.all([listFailures(node!), delay(settleMilliseconds)]);
        const firsts = ["a1", "a2"].map(id => harness.endpoints.get(id)!);
        for (const first of firsts) {
            first.runs.length = 0;
            first.behaviour = { stallsAfterEvent: 1 };
        }
        const controller = new AbortController();
        const sending = harness.send(node!, "/once/x", { signal: controller.signal }).catch(() => undefined);
        const listRuns = () => firsts.flatMap(({ runs }) => runs);
        await waitUntil("the stream runs", () => listRuns().length > 0);
        assert.equal(listRuns().some(({ isAbandoned }) => isAbandoned), false);
        controller.abort();
        await sending;
        await waitUntil("its run has ended", () => listRuns().every(({ isAbandoned }) => isAbandoned));
        for (const first of firsts) {
            first.behaviour = {};
        }
    });

    it("serves its callers while the peer that they are served through stops", async () => {
        const links = await harness.createLinks();
        const leaving = await harness.addNode(undefined, links);
        await harness.waitForEndpoints(leaving, 6);
        for (const other of nodes) {
            other.links.setCut(LinkCut.Reset);
        }
        await Promise.all([listFailures(nodes[0]!), delay(settleMilliseconds)]);
        nodes[1]!.links.setCut(LinkCut.None);
        await delay(restoreMilliseconds);
        const stopping = stopRouter({
            node: leaving.node,
            callers: leaving.callers,
            shutdownMilliseconds: 7_000,
            clock: systemClock,
        });
        for (let count = 0; count < 6; count++) {
            assert.deepEqual(await listFailures(nodes[0]!), []);
        }
        await stopping;
        leaving.store.close();
        harness.nodes.pop();
        await links.close();
    });

    it("serves its callers if it starts without links", async () => {
        const links = await harness.createLinks();
        links.setCut(LinkCut.Silent);
        const starting = await harness.addNode(undefined, links);
        await harness.waitForEndpoints(starting, 6);
        await delay(settleMilliseconds);
        assert.deepEqual(await listFailures(starting), []);
        starting.callers.stopListening();
        await starting.node.startDraining();
        await starting.node.stop();
        starting.store.close();
        harness.nodes.pop();
        await links.close();
    });

    it("serves its callers if it loses only the first stages", async () => {
        const firstStages = ["a1", "a2"].map(id => harness.endpoints.get(id)!.getAddress());
        nodes[0]!.links.setCut(LinkCut.Silent, address => firstStages.includes(address));
        await Promise.all([listFailures(nodes[0]!), delay(settleMilliseconds)]);
        assert.deepEqual(await listFailures(nodes[0]!), []);
    });

    it("rejects requests as not run if all nodes are cut off, and serves again soon after", async () => {
        for (const { links } of nodes) {
            links.setCut(LinkCut.Reset);
        }
        await Promise.all([listFailures(nodes[0]!), delay(settleMilliseconds)]);
        const statuses = await listFailures(nodes[0]!);
        assert.equal(statuses.length, requestsPerPath * paths.length);
        assert.deepEqual([...new Set(statuses)], [503]);
        for (const { links } of nodes) {
            links.setCut(LinkCut.None);
        }
        await delay(restoreMilliseconds);
        assert.deepEqual(await listFailures(nodes[0]!), []);
    });
});

function delay(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}
