import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { StartQueue } from "../../../../src/request/admission/start/startQueue.ts";
import type { StartRequest } from "../../../../src/request/admission/start/startRequest.ts";

describe("What StartQueue remembers of exhausted capacity", () => {
    let queue: StartQueue<string>;
    let searches: number;
    let hasCapacity: boolean;
    let isServable: boolean;

    beforeEach(() => {
        queue = StartQueue.create(() => 0.5);
        searches = 0;
        hasCapacity = false;
        isServable = true;
    });

    function arrive(now: number, changes: Partial<StartRequest<string>> = {}): string {
        const request: StartRequest<string> = {
            rank: 0,
            customer: undefined,
            cost: 100,
            latestOnTimeStart: now + 300,
            latestStart: now + 1_200,
            maximumRetryMilliseconds: 6_000,
            getCapacityClass: () => "model",
            tryReserve: () => {
                searches += 1;
                return hasCapacity ? "reservation" : undefined;
            },
            isServable: () => isServable,
            getPauseRetryMilliseconds: () => undefined,
            getLimitRetryMilliseconds: () => undefined,
            ...changes,
        };
        return queue.decideArrival(request, now).kind;
    }

    it("saves the searches of requests that need as much, but not of smaller, on-time or other ones", () => {
        arrive(0, { latestOnTimeStart: -1 });
        arrive(0, { latestOnTimeStart: -1, cost: 101 });
        assert.equal(searches, 1);
        arrive(0);
        assert.equal(searches, 2, "an on-time request may use what is reserved for on-time ones");
        arrive(0, { cost: 99 });
        arrive(0, { getCapacityClass: () => "other model" });
        arrive(0, { getCapacityClass: () => undefined });
        arrive(0, { getCapacityClass: () => undefined });
        assert.equal(searches, 6);
    });

    // Guards against requests that are refused or wait although capacity has become free.
    it("ends at a change, at a review and after 50 ms", () => {
        arrive(0);
        hasCapacity = true;
        assert.equal(arrive(1), "wait");
        queue.noteCapacityChange();
        assert.equal(arrive(2), "start");
        hasCapacity = false;
        arrive(3);
        hasCapacity = true;
        assert.deepEqual(queue.review(4).map(({ decision }) => decision.kind), ["start", "start", "start"]);
        hasCapacity = false;
        arrive(5);
        hasCapacity = true;
        assert.equal(arrive(54), "wait");
        assert.equal(arrive(55), "start");
    });

    // Guards against requests that wait for endpoints which want none any more.
    it("ends when endpoints ask for a pause or leave", () => {
        assert.equal(arrive(0), "wait");
        isServable = false;
        assert.equal(queue.reviewServability().length, 1);
        assert.equal(arrive(1), "refuse");
    });
});
