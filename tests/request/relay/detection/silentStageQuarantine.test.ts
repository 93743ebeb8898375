import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createEndpoint } from "../relayModel.ts";
import { SuspectBench } from "../streams/suspectBench.ts";

describe("StallDetector", () => {
    // Guards against a request that is held back as the cause of crashes although its later stages were only silent.
    it("doesn't count silent later stages as crashes by the request", async () => {
        const first = createEndpoint("1", { layers: { start: 0, end: 40 } });
        const later = ["2", "3", "4"].map(id => createEndpoint(id, { layers: { start: 40, end: 80 } }));
        const stream: SuspectBench = SuspectBench.create({
            endpoints: [first, ...later],
            isResumable: false,
            fetchReport: () => {
                const { address } = stream.relay.attempts.getStages()![1]!.endpoint;
                const stalled = [{ requestId: "request", address }];
                return Promise.resolve({ stalled } as never);
            },
            reroute: () => Promise.resolve({ isDone: true, faultyAddress: undefined }),
        });
        const { clock, environment } = stream.bench;
        await clock.advance(1_500);
        const hold = environment.quarantine.getHold("fingerprint", clock.getMonotonicTime());
        assert.equal(hold, undefined);
    });
});
