import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { runSoak } from "../../scripts/soak/runSoak.ts";

describe("runSoak", () => {
    it("finds no violation in a short run with seeded faults", async () => {
        const result = await runSoak({
            seed: 11,
            milliseconds: 30_000,
            maximumRequests: 300,
            maximumFaults: 10,
            isBuilt: false,
            nodes: 3,
            requestsPerSecond: 30,
            print: () => undefined,
        });
        assert.deepEqual(result.violations, []);
        assert.ok(result.exitCodes.every(code => code === 0));
        const finished = result.records.filter(({ outcome }) => outcome === "finished");
        assert.ok(finished.length > 150, `Only ${finished.length} responses were complete.`);
    });
});
