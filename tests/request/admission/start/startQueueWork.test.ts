import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { StartQueue } from "../../../../src/request/admission/start/startQueue.ts";
import type { StartRequest } from "../../../../src/request/admission/start/startRequest.ts";

const waitingCount = 1_000;
const arrivalCount = 10_000;
const customerCount = 20;
const rankCount = 3;

/** Plays arrivals that are refused while others wait. Returns the work of the arrivals and of the last review. */
function measureRefusals() {
    const work = { orderReads: 0, searches: 0 };
    const queue = StartQueue.create<string>(() => 0.5);
    const create = (index: number, cost: number, canReserve = false): StartRequest<string> => ({
        get rank() {
            work.orderReads += 1;
            return index % rankCount;
        },
        customer: `customer ${index % customerCount}`,
        cost,
        get latestOnTimeStart() {
            work.orderReads += 1;
            return 350 + index / 1_000;
        },
        latestStart: 1_200,
        maximumRetryMilliseconds: 6_000,
        tryReserve: () => {
            work.searches += 1;
            return canReserve ? "reservation" : undefined;
        },
        getCapacityClass: () => "model",
        isServable: () => {
            work.searches += 1;
            return true;
        },
        getPauseRetryMilliseconds: () => undefined,
        getLimitRetryMilliseconds: () => undefined,
    });
    // 5 requests of 100 tokens a millisecond: the waiting ones take 200 of the 350 ms that they have.
    queue.decideArrival(create(0, 100, true), 0);
    queue.recordEnd(100, 1, 0);
    for (let index = 0; index < 5; index++) {
        queue.recordStart();
    }
    for (let index = 0; index < waitingCount; index++) {
        assert.equal(queue.decideArrival(create(index, 100), 0).kind, "wait");
    }
    Object.assign(work, { orderReads: 0, searches: 0 });
    for (let index = 0; index < arrivalCount; index++) {
        // Too large for the time that is left, wherever it is in the order.
        assert.equal(queue.decideArrival(create(index, 200_000), 0).kind, "refuse");
    }
    const arrivals = { ...work };
    Object.assign(work, { orderReads: 0, searches: 0 });
    assert.deepEqual(queue.review(0), []);
    return { arrivals, review: work };
}

describe("The work of StartQueue", () => {
    // Guards against refusals whose cost grows with the number of waiting requests, which overload a node just when it is full.
    it("stays bounded for an arrival that is refused while 1,000 requests wait", () => {
        const { arrivals, review } = measureRefusals();
        // The waiting requests of each customer of the rank are searched by halving, and the arrival itself is read a few times.
        const halvings = Math.ceil(Math.log2(waitingCount / customerCount / rankCount + 1)) + 1;
        const readsPerArrival = customerCount * halvings + 10;
        assert.ok(
            arrivals.orderReads <= arrivalCount * readsPerArrival,
            `${arrivals.orderReads} reads of the order of requests`,
        );
        assert.ok(arrivals.searches <= 10, `${arrivals.searches} searches of chains`);
        assert.ok(review.orderReads <= waitingCount * 20, `${review.orderReads} reads in a review`);
        assert.ok(review.searches <= 1, `${review.searches} searches in a review`);
    });
});
