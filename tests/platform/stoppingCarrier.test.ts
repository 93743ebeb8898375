import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { stopRouter } from "../../src/process/router/stopRouter.ts";
import { systemClock } from "../../src/process/systemClock.ts";
import { LinkCut } from "../../standins/network/linkCut.ts";
import { createConfiguration } from "../../standins/router/createConfiguration.ts";
import { waitUntil } from "../support/waitUntil.ts";
import { type CallerAnswer, RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

const settleMilliseconds = 3_000;
const shutdownMilliseconds = 3_500;
/** Lasts longer than the stop of a node. */
const stream = { events: 60, eventMilliseconds: 100 };
const timeoutMilliseconds = 20_000;
const headers = { "request-deadline-ms": String(timeoutMilliseconds) };

describe("A node that stops while it carries the streams of others", () => {
    let harness: RouterTestHarness;
    let nodes: StartedNode[];
    let version = 1;

    before(async () => {
        harness = await RouterTestHarness.create();
        for (const id of ["m1", "m2", "m3"]) {
            await harness.addEndpoint(id, "model", { from: 0, to: 8 }, stream);
        }
        await harness.addEndpoint("d1", "documents");
        harness.putWholePlacement();
        change();
        nodes = [];
        for (let count = 0; count < 4; count++) {
            nodes.push(await harness.addNode(undefined, await harness.createLinks()));
        }
        for (const node of nodes) {
            await harness.waitForEndpoints(node, 4);
        }
    });

    after(() => harness.close());

    function change(): void {
        version += 1;
        const base = createConfiguration(version);
        const routes = (base["routes"] as object[]).map(route => ({ ...route, timeout_ms: timeoutMilliseconds }));
        harness.store.put("op/config", { ...base, routes });
    }

    const describeAnswer = ({ status, isComplete }: CallerAnswer) => isComplete ? `${status}` : `${status}, cut`;

    it("costs no stream its answer that may go on over another node", { timeout: 60_000 }, async () => {
        const [served, first, second] = nodes as [StartedNode, StartedNode, StartedNode];
        served.links.setCut(LinkCut.Silent);
        await wait(settleMilliseconds);
        const countRuns = () => [...harness.endpoints.values()].reduce((sum, { runs }) => sum + runs.length, 0);
        const sending = Array.from({ length: 9 }, () => harness.send(served, "/model/x", { headers }));
        await waitUntil("all run", () => countRuns() >= sending.length);
        const timer = setInterval(change, 400);
        const stopping = [first, second].map(({ node, callers }) =>
            stopRouter({ node, callers, shutdownMilliseconds, clock: systemClock })
        );
        const answers = await Promise.all(sending);
        clearInterval(timer);
        await Promise.all(stopping);
        assert.deepEqual(answers.map(describeAnswer), answers.map(() => "200"));
        assert.ok(countRuns() > sending.length, "No stream went on over another node.");
    });
});
