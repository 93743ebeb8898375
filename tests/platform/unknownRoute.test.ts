import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { createConfiguration } from "../../standins/router/createConfiguration.ts";
import { waitUntil } from "../support/waitUntil.ts";
import { RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

/** Time within which a change must be in force, in milliseconds. */
const configurationMilliseconds = 2_000;

describe("A request for a route that was added while the store did not answer", () => {
    let harness: RouterTestHarness;
    let node: StartedNode;

    before(async () => {
        harness = await RouterTestHarness.create();
        await harness.addEndpoint("first", "documents");
        node = await harness.addNode();
        await harness.waitForEndpoints(node, 1);
    });

    after(() => harness.close());

    // The node answered 404 from a copy that it knew to be old; a caller takes that for final.
    it("is told to come back while the node can't know of the route, and is served afterwards", async () => {
        harness.store.faults = { isSilent: true };
        harness.store.losePendingWatches();
        const configuration = createConfiguration(2);
        const [safe, ...others] = configuration["routes"] as object[];
        const added = { ...safe, name: "added", prefix: "/added/" };
        harness.store.put("op/config", { ...configuration, routes: [safe, ...others, added] });
        await new Promise(resolve => setTimeout(resolve, configurationMilliseconds));
        const early = await harness.send(node, "/added/1");
        assert.equal(early.status, 503);
        assert.equal(early.headers["retry-after"], "0.5");
        harness.store.faults = {};
        await waitUntil("the version is in force", () => node.node.getRouting()?.configuration.version === 2);
        assert.equal((await harness.send(node, "/added/2")).status, 200);
        assert.equal((await harness.send(node, "/never/1")).status, 404);
    });
});
