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
    const createState = (now: number, memoryTokens = 100_000, timelyTokens = Infinity) => ({
        holdMilliseconds: 1_000,
        nodeCount: 1,
        now,
        getMemoryTokens: () => memoryTokens,
        getTimelyTokens: () => timelyTokens,
    });
    const getFraction = (rank: number, now: number, memoryTokens?: number) =>
        reserve.getFraction(createRequest(rank), createState(now, memoryTokens));
    return { log, shares, reserve, createRequest, createState, getFraction };
}

describe("RankReserve", () => {
    it("leaves free what higher ranks need, and nothing for lower ones", () => {
        const { reserve, createRequest, createState, getFraction } = createBench();
        reserve.noteArrival(createRequest(1), createState(0));
        assert.deepEqual([getFraction(0, 0), getFraction(1, 0), getFraction(2, 0)], [0, 0, 0.125]);
        reserve.noteArrival(createRequest(0), createState(100));
        assert.deepEqual([getFraction(0, 100), getFraction(1, 100)], [0, 0.125]);
    });

    // Guards against a reserve that still follows from the memory of lost endpoints.
    it("follows a loss of capacity within a tenth of a second", () => {
        const { reserve, createRequest, createState, getFraction } = createBench();
        reserve.noteArrival(createRequest(0), createState(0));
        assert.equal(getFraction(1, 0), 0.125);
        assert.equal(getFraction(1, 99, 50_000), 0.125);
        assert.ok(getFraction(1, 100, 50_000) > 0.2);
    });

    // Guards against nodes that fill the memory before they know of each other's requests.
    it("holds requests of a rank beyond its share, and none of the ranks before it", () => {
        const { reserve, createRequest, createState } = createBench();
        const started = [0, 0];
        for (let now = 0; now < 18_000; now += 100) {
            for (const rank of [0, 1]) {
                const request = { ...createRequest(rank), ranks: [0, 1], tokens: 500 };
                // Capacity for 7,500 tokens a second, of which each rank asks for 5,000.
                const state = createState(now, 100_000, 9_375);
                reserve.noteArrival(request, state);
                if (!reserve.isHeld(request, state)) {
                    reserve.noteStart(request, now);
                    // The measured demand has risen to the actual one after some seconds.
                    started[rank]! += now < 8_000 ? 0 : 1;
                }
            }
        }
        assert.equal(started[0], 100);
        assert.ok(started[1]! >= 48 && started[1]! <= 54, `${started[1]}`);
    });

    it("logs a change by more than 0.1, once a second at most", () => {
        const { log, reserve, createRequest, createState, getFraction } = createBench();
        for (let now = 0; now < 2_000; now += 100) {
            reserve.noteArrival(createRequest(0), createState(now));
            getFraction(1, now);
            getFraction(2, now);
        }
        assert.deepEqual(log.numbers, [1730, 1730]);
    });

    it("reports the admitted share of a rank, and counts no retries by callers as demand", () => {
        const { shares, reserve, createRequest, createState, getFraction } = createBench();
        reserve.noteArrival({ ...createRequest(0), isNew: false }, createState(0));
        assert.equal(getFraction(1, 0), 0);
        reserve.noteArrival(createRequest(0), createState(100));
        reserve.noteStart(createRequest(0), 100);
        reserve.noteArrival(createRequest(0), createState(1_100));
        assert.deepEqual(shares.map(([rank, share]) => [rank, Math.round(share! * 100)]), [[0, 0], [0, 38]]);
    });
});
