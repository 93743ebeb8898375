import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { UpstreamFailureKind } from "../../../../src/connection/upstream/upstreamFailureKind.ts";
import type { RerouteOutcome } from "../../../../src/request/relay/endpoints/rerouteOutcome.ts";
import { createEndpoint } from "../relayModel.ts";
import { SuspectBench } from "../streams/suspectBench.ts";

/** Starts a stream whose first stage was told to move it and breaks off before it answers. */
async function startMovedMeanwhile() {
    const endpoints = [
        ...["1", "2"].map(id => createEndpoint(id, { layers: { start: 0, end: 40 } })),
        ...["3", "4"].map(id => createEndpoint(id, { layers: { start: 40, end: 80 } })),
    ];
    const answers: ((outcome: RerouteOutcome) => void)[] = [];
    const stream: SuspectBench = SuspectBench.create({
        endpoints,
        isResumable: true,
        maximumAttempts: 3,
        reroute: () => new Promise(resolve => answers.push(resolve)),
    });
    stream.begin();
    const [earlierFirst, earlierLater] = stream.relay.attempts.getStages()!.map(({ endpoint }) => endpoint);
    stream.detector.handleEndpointRestart(earlierLater!);
    stream.getLast().listener.onFailure({ kind: UpstreamFailureKind.Broken, message: "reset" });
    const first = stream.markSent();
    assert.notEqual(first, earlierFirst!.id);
    const answer = async (isDone: boolean) => {
        answers[0]!({ isDone, faultyAddress: undefined });
        await stream.bench.clock.advance(1);
    };
    return { stream, first, answer };
}

describe("StallDetector", () => {
    // Guards against a sound run that is given up for the failed move of the run before it.
    it("leaves the next attempt alone if the move of the one before it fails", async () => {
        const { stream, first, answer } = await startMovedMeanwhile();
        await answer(false);
        assert.equal(stream.getLast().isAborted, false);
        assert.equal(stream.bench.sentRequests.length, 2);
        assert.equal(stream.getFirstId(), first);
    });

    // Guards against a stream that counts as running on the endpoints of its attempt before.
    it("leaves the next attempt alone if the move of the one before it is done", async () => {
        const { stream, first, answer } = await startMovedMeanwhile();
        await answer(true);
        assert.equal(stream.getFirstId(), first);
    });
});
