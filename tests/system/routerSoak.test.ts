import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { runRouterSoak } from "../../scripts/soak/router/runRouterSoak.ts";

describe("runRouterSoak", () => {
    it("finds no violation in a short run with seeded faults", async () => {
        const result = await runRouterSoak({
            seed: 11,
            milliseconds: 25_000,
            maximumRequests: 400,
            maximumFaults: 8,
            isBuilt: false,
            nodes: 3,
            requestsPerSecond: 30,
            print: () => undefined,
        });
        assert.deepEqual(result.violations, []);
        const completeResponses = result.outcomes["unsafe/200"] ?? 0;
        assert.ok(completeResponses > 50, `Only ${completeResponses} document responses were complete.`);
    });
});
