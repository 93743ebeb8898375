import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { RerouteOutcome } from "../../../../src/request/relay/endpoints/rerouteOutcome.ts";
import { createEndpoint } from "../relayModel.ts";
import { SuspectBench } from "../streams/suspectBench.ts";

const orderMilliseconds = 500;

describe("StallDetector", () => {
    // Guards against a resumable stream that waits for its deadline on a chain that is known to be lost.
    it("gives up a resumable stream whose later stage restarts while the stream is being moved away from it", async () => {
        const endpoints = [
            ...["1", "2"].map(id => createEndpoint(id, { layers: { start: 0, end: 40 } })),
            ...["3", "4"].map(id => createEndpoint(id, { layers: { start: 40, end: 80 } })),
        ];
        const answers: ((outcome: RerouteOutcome) => void)[] = [];
        let isRestarted = false;
        const stream: SuspectBench = SuspectBench.create({
            endpoints,
            isResumable: true,
            maximumAttempts: 3,
            fetchReport: () => {
                const { address } = stream.relay.attempts.getStages()![1]!.endpoint;
                return Promise.resolve({ stalled: isRestarted ? [] : [{ requestId: "request", address }] } as never);
            },
            reroute: () => new Promise(resolve => answers.push(resolve)),
        });
        const { clock, environment } = stream.bench;
        stream.begin();
        const later = stream.relay.attempts.getStages()![1]!.endpoint;
        await clock.advance(orderMilliseconds);
        assert.equal(answers.length, 1);
        isRestarted = true;
        stream.detector.handleEndpointRestart(later);
        // All others are silent for the moment, so that a suspicion alone moves nothing.
        for (const { id } of endpoints) {
            environment.health.markUnavailable(id, clock.getMonotonicTime());
        }
        answers[0]!({ isDone: false, faultyAddress: undefined });
        await clock.advance(1);
        assert.equal(stream.bench.sentRequests[0]!.isAborted, true);
    });
});
