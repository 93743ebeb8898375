import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FirstEventTimes } from "../../../../src/request/relay/endpoints/firstEventTimes.ts";
import { getLatestStart } from "../../../../src/request/relay/queue/getLatestStart.ts";
import { RelayBench } from "../relayBench.ts";

function doTest(
    ranks: number[],
    targetLatencyMilliseconds: number,
    maximumEventGapMilliseconds: number,
    dueAt = 20_000,
) {
    const { request, route } = RelayBench.create([]).createTask("stream");
    // The usual time to a first event is 100 ms before the first measurement.
    return getLatestStart({ firstEvents: FirstEventTimes.create() }, {
        request: { ...request, arrivedAt: 1_000 },
        route: { ...route, targetLatencyMilliseconds, maximumEventGapMilliseconds },
        ranks,
        dueAt,
    });
}

describe("getLatestStart", () => {
    // Guards against callers of lower ranks that are refused although they would have stayed.
    it("lets a request wait for as long as its caller stays, less the usual time to a first event", () => {
        assert.equal(doTest([0, 1], 100, 100), 2_900);
        assert.equal(doTest([0, 1], 1_000, 250), 4_900);
        assert.equal(doTest([0, 1], 500, 400), 4_100);
        assert.equal(doTest([0, 1], 1_000, 250, 3_000), 3_000);
    });

    // Guards against longer waits in deployments without ranks.
    it("is the same for every objective where the service has one rank", () => {
        assert.equal(doTest([1], 100, 100), 2_200);
        assert.equal(doTest([1], 1_000, 250), 2_200);
        assert.equal(doTest([], 1_000, 250, 1_500), 1_500);
    });
});
