import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PathState } from "../../../../src/connection/upstream/path/pathState.ts";
import { UpstreamFailureKind } from "../../../../src/connection/upstream/upstreamFailureKind.ts";
import { createEndpoint } from "../relayModel.ts";
import { SuspectBench } from "./suspectBench.ts";

const layers = { start: 0, end: 80 };
const broken = { kind: UpstreamFailureKind.Broken, message: "reset" };

// Guards against more runs than the route allows: an endpoint, a node or a peer that stands still for a moment misses the test of a path,
// and the endpoint goes on running the request.
describe("StreamRelay", () => {
    function startWithLostPath(ids: string[], maximumAttempts: number): SuspectBench {
        const endpoints = ids.map(id => createEndpoint(id, { layers }));
        const stream = SuspectBench.create({ endpoints, isResumable: true, maximumAttempts });
        stream.bench.pathState = PathState.Lost;
        stream.begin();
        return stream;
    }

    it("counts the runs of endpoints whose path seems lost against the attempts of the route", () => {
        const stream = startWithLostPath(["1", "2", "3"], 2);
        const used = new Set([stream.getFirstId()]);
        for (let attempt = 2; attempt <= 4; attempt++) {
            // The next chain prefers endpoints that are not suspect.
            stream.bench.environment.health.markUnavailable(stream.getFirstId(), stream.bench.clock.getMonotonicTime());
            stream.getLast().listener.onFailure(broken);
            used.add(stream.markSent());
            assert.equal(stream.bench.sentRequests.length, attempt);
        }
        assert.equal(used.size, 2);
    });

    it("sends a stream to the same endpoint again, over another path, if its route allows no other", () => {
        const stream = startWithLostPath(["1", "2"], 1);
        const first = stream.getFirstId();
        stream.getLast().listener.onFailure(broken);
        assert.equal(stream.markSent(), first);
    });
});
