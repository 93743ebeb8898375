// Guards against passing on a stream without end of an endpoint in trouble: nothing compared its events with the tokens that the request
// allows, so that it kept its endpoint and its caller busy until the deadline, and could end as complete.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createEndpoint } from "../relayModel.ts";
import { SuspectBench } from "./suspectBench.ts";

const layers = { start: 0, end: 80 };
const endpointCount = 3;
/** What the requests of the bench allow. */
const maximumAnswerTokens = 400;
const eventsWithoutTokens = 8;

describe("A stream with more events than its request allows", () => {
    function begin(isResumable: boolean): SuspectBench {
        const endpoints = Array.from({ length: endpointCount }, (_, index) => createEndpoint(`${index}`, { layers }));
        const stream = SuspectBench.create({ endpoints, isResumable, maximumAttempts: 4 });
        stream.begin();
        for (let id = 2; id <= maximumAnswerTokens + eventsWithoutTokens; id++) {
            stream.sendEvent(id);
        }
        return stream;
    }

    for (const isResumable of [true, false]) {
        it(`is cut at the first of them, and its endpoint avoided: ${isResumable ? "" : "not "}resumable`, () => {
            const stream = begin(isResumable);
            const { bench } = stream;
            const endpointId = stream.getFirstId();
            assert.deepEqual(bench.answers, ["200"]);
            stream.sendEvent(maximumAnswerTokens + eventsWithoutTokens + 1);
            assert.equal(bench.sentRequests.length, 1);
            assert.deepEqual(bench.answers, ["200", "cut"]);
            assert.ok(bench.environment.health.isSuspect(endpointId, bench.clock.getMonotonicTime()));
        });
    }

    it("counts events that an endpoint repeats only once", () => {
        const stream = begin(true);
        stream.sendEvent(maximumAnswerTokens);
        assert.deepEqual(stream.bench.answers, ["200"]);
    });
});
