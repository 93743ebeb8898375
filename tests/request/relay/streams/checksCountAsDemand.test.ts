import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createEndpoint } from "../relayModel.ts";
import { SuspectBench } from "./suspectBench.ts";

const layers = { start: 0, end: 80 };
const silenceMilliseconds = 5_000;

describe("StreamRelay.hedge", () => {
    // Guards against a node whose share of a rate limit grows since streams wait there for a silent endpoint.
    it("doesn't count a search for another chain that finds none as a request for the service", async () => {
        const stream = SuspectBench.create({
            endpoints: [createEndpoint("1", { layers })],
            isResumable: true,
        });
        const { clock, environment } = stream.bench;
        stream.begin();
        let requests = 0;
        environment.limits.noteRequest = () => {
            requests += 1;
        };
        await clock.advance(silenceMilliseconds);
        assert.equal(stream.bench.sentRequests.length, 1);
        assert.equal(requests, 0);
    });
});
