import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LateFirstEvents } from "../../../../src/request/relay/detection/lateFirstEvents.ts";
import { createEndpoint, relayModel } from "../relayModel.ts";

/** Creates a stream that waits for its first event. Only what the review reads of it. */
function createStream(targetLatencyMilliseconds: number, promptTokens: number, isQueued: boolean) {
    const stages = [{ endpoint: createEndpoint("1"), start: 0, end: 80 }];
    const route = { targetLatencyMilliseconds, maximumEventGapMilliseconds: 200 };
    const counts = { searches: 0, reads: 0 };
    const attempts = {
        getSentAt: () => 0,
        hasEvents: () => false,
        getStages: () => stages,
        list: () => {
            counts.reads += 1;
            return [{ stages, sentAt: 0, firstEventAt: undefined }];
        },
        isQueuedAtLink: () => isQueued,
    };
    const moves = { noteStay: () => undefined, hedgeUnbegun: () => counts.searches += 1 };
    const task = { route, request: { arrivedAt: 0, promptTokens }, service: { engine: relayModel } };
    return { counts, stream: { attempts, moves, task } };
}

describe("LateFirstEvents", () => {
    const others = ["2", "3"].map(id => ({
        attempts: {
            hasEvents: () => true,
            list: () => [{ stages: [{ endpoint: { id } }], sentAt: 100, firstEventAt: 170 }],
        },
    }));

    interface Case {
        objective?: number;
        promptTokens?: number;
        isQueued?: boolean;
        relays?: readonly object[];
    }

    /** Reviews a stream at some times. Expects that a second chain is searched so often. */
    function doTest(
        { objective = 100, promptTokens = 1, isQueued = false, relays = others }: Case,
        times: number[],
        expected: number,
    ) {
        const { counts, stream } = createStream(objective, promptTokens, isQueued);
        const review = LateFirstEvents.create({ directory: { getSlowness: () => 1 } as never });
        for (const time of times) {
            review.review([stream, ...relays] as never, time);
        }
        assert.equal(counts.searches, expected);
    }

    it("searches a second chain after half of the objective, within bounds, and not too often", () => {
        doTest({}, [235, 255], 1);
        doTest({ objective: 700 }, [345], 0);
        doTest({ objective: 700 }, [360], 1);
        doTest({ objective: 5_000 }, [430], 1);
        doTest({}, [300, 360, 420, 480, 540], 2);
    });

    it("leaves a stream in its place whose own prompt takes the time, or that may be queued at a link", () => {
        doTest({ promptTokens: 1_000_000 }, [300, 500], 0);
        doTest({ isQueued: true }, [300, 500], 0);
    });

    it("waits for half of the caller's stay if nothing is known of the others", () => {
        doTest({ relays: [] }, [300, 990], 0);
        doTest({ relays: [] }, [1_010], 1);
    });

    // Guards against reviews that hold up all streams of a node while the first events of many are late.
    it("reads each stream once for all that wait", () => {
        const streams = Array.from({ length: 50 }, () => createStream(100, 1, false));
        const review = LateFirstEvents.create({ directory: { getSlowness: () => 1 } as never });
        review.review(streams.map(({ stream }) => stream) as never, 300);
        assert.equal(streams.reduce((sum, { counts }) => sum + counts.reads, 0), 50);
    });
});
