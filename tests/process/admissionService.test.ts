import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createBenchConfiguration } from "../../bench/admission/createBenchConfiguration.ts";
import { AdmissionService } from "../../src/process/admissionService.ts";
import { MembershipView } from "../../src/process/membership/membershipView.ts";
import { VirtualClock } from "../support/virtualClock.ts";

const customer = "alice";
const limit = 100;

/** Creates the service of one of two nodes. The other node has a demand of three times the customer's limit. */
function createService(): { service: AdmissionService; clock: VirtualClock; view: MembershipView; } {
    const clock = VirtualClock.create();
    const view = MembershipView.create({
        nodeId: "self",
        peerAddress: "127.0.0.1:1",
        dataCentre: "a",
        incarnation: 1,
        suspicionTimeoutMilliseconds: 0,
    });
    const configuration = createBenchConfiguration({ [customer]: { requestsPerSecond: limit } });
    const service = AdmissionService.create({
        clock,
        random: () => 0.5,
        view,
        getConfiguration: () => configuration,
        getEndpointState: () => undefined,
    });
    const record = { peerAddress: "127.0.0.1:2", dataCentre: "a", configurationVersion: 0, incarnation: 1 };
    view.applyRecords([{ ...record, nodeId: "other", state: "alive" }], 0);
    service.customerLimits.applyPeerDemand("other", [{ customer, requestsPerSecond: 3 * limit }]);
    return { service, clock, view };
}

/** Sends requests at the rate of the customer's limit for 4 s and returns the share accepted in the last second. */
async function getAcceptedShare(service: AdmissionService, clock: VirtualClock): Promise<number> {
    const startedAt = clock.getMonotonicTime();
    let accepted = 0;
    for (let index = 0; index < 4 * limit; index++) {
        await clock.runUntil(startedAt + index * 1_000 / limit);
        const refusal = service.customerLimits.takeRequest(customer, clock.getMonotonicTime());
        accepted += refusal === undefined && index >= 3 * limit ? 1 : 0;
    }
    return accepted / limit;
}

describe("AdmissionService", () => {
    async function doTest(change: (view: MembershipView) => void, expected: number): Promise<void> {
        const { service, clock, view } = createService();
        change(view);
        const share = await getAcceptedShare(service, clock);
        assert.ok(Math.abs(share - expected) <= 0.03, `${share} is not near ${expected}`);
    }

    it("shares a customer's limit with the other nodes", () => doTest(() => undefined, 0.25));

    it("keeps the report of a node that is only suspected", () => doTest(view => view.noteMiss("other", 0), 0.25));

    it("discards the report of a node that is leaving", () =>
        doTest(view => view.applyRecords([{ ...view.getMember("other")!, state: "leaving" }], 0), 1));

    it("discards the report of a node that is dead", () =>
        doTest(view => {
            view.noteMiss("other", 0);
            view.advance(1);
        }, 1));
});
