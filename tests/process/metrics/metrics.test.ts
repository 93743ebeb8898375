import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Metrics } from "../../../src/process/metrics/metrics.ts";

describe("Metrics", () => {
    it("uses a separate registry that includes the metrics of the process", async () => {
        const [first, second] = [Metrics.create(), Metrics.create()];
        first.requestsTotal.inc({ service: "receipts", outcome: "finished" });
        first.members.set(9);
        const text = await first.registry.metrics();
        assert.match(text, /^foxlead_requests_total\{service="receipts",outcome="finished"\} 1$/m);
        assert.match(text, /^foxlead_members 9$/m);
        assert.match(text, /^process_cpu_seconds_total /m);
        assert.doesNotMatch(await second.registry.metrics(), /receipts/);
    });
});
