import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { findSlowFirstStages } from "../../../../src/request/relay/detection/findSlowFirstStages.ts";
import { summarizeFirstStages } from "../../../../src/request/relay/detection/summarizeFirstStages.ts";

const now = 10_000;
const waitedMilliseconds = 500;
const fast = (endpointId: string, sentAt = now - 300) => ({ endpointId, sentAt, firstEventAt: sentAt + 80 });
const slow = (endpointId: string, sentAt = now - 900) => ({ endpointId, sentAt, firstEventAt: sentAt + 800 });
const waiting = (endpointId: string, sentAt = now - 400) => ({ endpointId, sentAt, firstEventAt: undefined });

describe("findSlowFirstStages", () => {
    function doTest(
        streams: Parameters<typeof summarizeFirstStages>[0],
        expected: string[] | undefined,
        isUrgent = false,
    ) {
        const late = { endpointId: "own", waitedMilliseconds, isUrgent };
        const found = findSlowFirstStages(late, summarizeFirstStages(streams, now));
        assert.deepEqual(found.ok ? [...found.val].sort() : undefined, expected);
    }

    it("finds those whose newest first event is late, if most of the others are fast", () => {
        doTest([fast("1"), fast("2"), waiting("own")], ["own"]);
        doTest([fast("1"), fast("2"), slow("3"), waiting("own")], ["3", "own"]);
        doTest([fast("1"), fast("2"), waiting("3")], ["3", "own"]);
    });

    it("finds none if first events are late at as many others, or at more of them if the stream is urgent", () => {
        doTest([fast("1"), slow("2")], undefined);
        doTest([fast("1"), slow("2")], ["2", "own"], true);
        doTest([fast("1"), waiting("2"), slow("3")], undefined, true);
    });

    it("goes by the newest stream of each first stage", () => {
        doTest([slow("1", now - 1_500), fast("1", now - 600), fast("2")], ["own"]);
        doTest([fast("1", now - 1_500), waiting("1", now - 600), fast("2")], undefined);
    });

    it("knows nothing of first stages whose streams began long ago or were just sent", () => {
        doTest([fast("1", now - 3_000), waiting("2", now - 100)], undefined);
    });

    it("lets an urgent stream go elsewhere if nothing is known of the others", () => {
        doTest([fast("1", now - 3_000)], ["own"], true);
        doTest([], ["own"], true);
    });
});
