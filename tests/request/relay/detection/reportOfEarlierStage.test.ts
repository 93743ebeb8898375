import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { UpstreamFailureKind } from "../../../../src/connection/upstream/upstreamFailureKind.ts";
import type { EndpointReport } from "../../../../src/request/relay/endpoints/endpointReport.ts";
import { createEndpoint } from "../relayModel.ts";
import { SuspectBench } from "../streams/suspectBench.ts";

const silentMilliseconds = 600;

describe("StallDetector", () => {
    // Guards against a sound run that is moved or given up for what the first stage before it reports of the run that has ended.
    it("leaves the next attempt alone if the first stage of the one before it reports that it is stalled", async () => {
        const endpoints = [
            ...["1", "2"].map(id => createEndpoint(id, { layers: { start: 0, end: 40 } })),
            ...["3", "4"].map(id => createEndpoint(id, { layers: { start: 40, end: 80 } })),
        ];
        const reports: ((report: EndpointReport) => void)[] = [];
        let reroutes = 0;
        const stream = SuspectBench.create({
            endpoints,
            isResumable: true,
            maximumAttempts: 3,
            fetchReport: () => new Promise(resolve => reports.push(resolve)),
            reroute: () => {
                reroutes += 1;
                return Promise.resolve({ isDone: false, faultyAddress: undefined });
            },
        });
        stream.begin();
        const [earlierFirst, earlierLater] = stream.relay.attempts.getStages()!.map(({ endpoint }) => endpoint);
        await stream.bench.clock.advance(silentMilliseconds);
        assert.ok(reports.length > 0);
        stream.getLast().listener.onFailure({ kind: UpstreamFailureKind.Broken, message: "reset" });
        const first = stream.getFirstId();
        assert.notEqual(first, earlierFirst!.id);
        for (const answer of reports.splice(0)) {
            answer({ stalled: [{ requestId: "request", address: earlierLater!.address }] } as never);
        }
        await stream.bench.clock.advance(1);
        assert.equal(reroutes, 0);
        assert.equal(stream.getLast().isAborted, false);
        assert.equal(stream.bench.sentRequests.length, 2);
    });
});
