import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RankReserve } from "../../../../src/request/relay/queue/rankReserve.ts";
import { RecordingEventLog } from "../../../support/recordingEventLog.ts";

function createBench() {
    const log = RecordingEventLog.create();
    const shares: number[][] = [];
    const reserve = RankReserve.create({ log, onAdmittedShare: (...share) => shares.push(share) });
    const createRequest = (rank: number) => ({
        requestId: "request",
        service: "m",
        rank,
        ranks: [0, 1, 2],
        tokens: 20_000,
        isNew: true,
    });
    const getFraction = (rank: number, now: number, capacityTokens = 100_000) =>
        reserve.getFraction(createRequest(rank), {
            holdMilliseconds: 1_000,
            nodeCount: 1,
            now,
            getCapacityTokens: () => capacityTokens,
        });
    return { log, shares, reserve, createRequest, getFraction };
}

describe("RankReserve", () => {
    it("leaves free what higher ranks need, and nothing for lower ones", () => {
        const { reserve, createRequest, getFraction } = createBench();
        reserve.noteArrival(createRequest(1), 1, 0);
        assert.deepEqual([getFraction(0, 0), getFraction(1, 0), getFraction(2, 0)], [0, 0, 0.125]);
        reserve.noteArrival(createRequest(0), 1, 100);
        assert.deepEqual([getFraction(0, 100), getFraction(1, 100)], [0, 0.125]);
    });

    // Guards against a reserve that still follows from the memory of lost endpoints.
    it("follows a loss of capacity within a tenth of a second", () => {
        const { reserve, createRequest, getFraction } = createBench();
        reserve.noteArrival(createRequest(0), 1, 0);
        assert.equal(getFraction(1, 0), 0.125);
        assert.equal(getFraction(1, 99, 50_000), 0.125);
        assert.ok(getFraction(1, 100, 50_000) > 0.2);
    });

    it("logs a change by more than 0.1, once a second at most", () => {
        const { log, reserve, createRequest, getFraction } = createBench();
        for (let now = 0; now < 2_000; now += 100) {
            reserve.noteArrival(createRequest(0), 1, now);
            getFraction(1, now);
            getFraction(2, now);
        }
        assert.deepEqual(log.numbers, [1730, 1730]);
    });

    it("reports the admitted share of a rank, and counts no retries by callers as demand", () => {
        const { shares, reserve, createRequest, getFraction } = createBench();
        reserve.noteArrival({ ...createRequest(0), isNew: false }, 1, 0);
        assert.equal(getFraction(1, 0), 0);
        reserve.noteArrival(createRequest(0), 1, 100);
        reserve.noteStart(createRequest(0), 100);
        reserve.noteArrival(createRequest(0), 1, 1_100);
        assert.deepEqual(shares.map(([rank, share]) => [rank, Math.round(share! * 100)]), [[0, 0], [0, 38]]);
    });
});
