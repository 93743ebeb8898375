import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createEndpoint } from "../relayModel.ts";
import { SuspectBench } from "./suspectBench.ts";

const layers = { start: 0, end: 80 };

describe("StreamRelay.hedge", () => {
    // Guards against more runs than the route allows: a silent endpoint still runs the request.
    it("counts the run of an endpoint that is only silent against the attempts of the route", () => {
        const endpoints = ["1", "2", "3"].map(id => createEndpoint(id, { layers }));
        const stream = SuspectBench.create({ endpoints, isResumable: true, maximumAttempts: 2 });
        stream.begin();
        stream.suspectFirst();
        stream.markSent();
        stream.suspectFirst();
        assert.equal(stream.bench.sentRequests.length, 2);
    });
});
