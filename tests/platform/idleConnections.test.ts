import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { createConfiguration } from "../../standins/router/createConfiguration.ts";
import { waitUntil } from "../support/waitUntil.ts";
import { RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

const millisecondsPerSecond = 1_000;
const defaultSeconds = 75;
const longSeconds = 200;

describe("The time for which idle connections of callers are kept", () => {
    let harness: RouterTestHarness;
    let node: StartedNode;
    let version = 1;

    before(async () => {
        harness = await RouterTestHarness.create();
        await harness.addEndpoint("d1", "documents");
        await harness.addEndpoint("m1", "model", { from: 0, to: 8 });
        harness.putWholePlacement();
        node = await harness.addNode();
        await harness.waitForEndpoints(node, 2);
    });

    after(() => harness.close());

    async function putIdleLimit(seconds: number): Promise<void> {
        version += 1;
        const base = createConfiguration(version);
        const limits = { ...base["limits"] as object, idle_timeout_ms: seconds * millisecondsPerSecond };
        harness.store.put("op/config", { ...base, limits });
        await waitUntil("it is in force", () => node.node.getRouting()?.configuration.version === version);
        // The listener learns of the limit with the next request, whose own answer may still announce the time before.
        await harness.send(node, "/safe/x");
    }

    /** Sends requests that are answered by an endpoint, as a stream, and with a refusal. Returns the times that the answers announce. */
    async function listAnnounced(): Promise<string[]> {
        const announced: string[] = [];
        for (const path of ["/safe/x", "/model/x", "/nothing/x"]) {
            const { headers } = await harness.send(node, path, { headers: { connection: "keep-alive" } });
            announced.push(String(headers["keep-alive"]));
        }
        return announced;
    }

    const repeat = (seconds: number) => Array.from({ length: 3 }, () => `timeout=${seconds}`);

    // Connections were closed after 75 s whatever the configuration allowed, so that a request could cross the close.
    it("follows a limit that rises, and never falls below what callers were told", async () => {
        assert.deepEqual(await listAnnounced(), repeat(defaultSeconds));
        await putIdleLimit(longSeconds);
        assert.deepEqual(await listAnnounced(), repeat(longSeconds));
        await putIdleLimit(1);
        assert.deepEqual(await listAnnounced(), repeat(longSeconds));
    });
});
