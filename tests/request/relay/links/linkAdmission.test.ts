import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { getActivationBits } from "../../../../src/request/relay/links/getActivationBits.ts";
import { getUsableRate } from "../../../../src/request/relay/links/getUsableRate.ts";
import { LinkAdmission } from "../../../../src/request/relay/links/linkAdmission.ts";
import type { LinkCrossing } from "../../../../src/request/relay/links/linkCrossing.ts";
import type { LinkCrossingQuery } from "../../../../src/request/relay/links/linkCrossingQuery.ts";
import { LinkDelays } from "../../../../src/request/relay/links/linkDelays.ts";
import { RecordingEventLog } from "../../../support/recordingEventLog.ts";
import {
    callerWaitMilliseconds,
    drawFirstEvent,
    objectiveMilliseconds,
    replayLink,
    replayModel,
    type ReplayNode,
    replayNodeCount,
    type ReplayRequest,
} from "./linkReplay.ts";

const link = { from: "a", to: "b" };
const query: LinkCrossingQuery = {
    ...link,
    model: replayModel,
    promptTokens: replayModel.typicalPromptTokens,
    elapsedMilliseconds: 0,
    objectiveMilliseconds,
    waitLimitMilliseconds: callerWaitMilliseconds,
    isReturn: false,
    isRunning: false,
    beginCount: 0,
    onTimeWaitMilliseconds: Infinity,
    isOnlyChoice: true,
};
const seeds = Array.from({ length: 60 }, (_, index) => index + 1);

/** A node of the replay that decides with a {@link LinkAdmission}. */
interface AdmissionNode extends ReplayNode {
    admission: LinkAdmission;
}

function createAdmission(options: Partial<Parameters<typeof LinkAdmission.create>[0]> = {}): LinkAdmission {
    const log = RecordingEventLog.create();
    const fixed = { random: () => 0.5, log, delays: LinkDelays.create(), getDemand: () => 0, getNodeCount: () => 1 };
    return LinkAdmission.create({ ...fixed, ...options });
}

/** Replays a load with several seeds and returns the means of the results. */
function replay(requestsPerSecond: number) {
    const results = seeds.map(seed =>
        replayLink({
            seed,
            requestsPerSecond,
            createNode: (index, random, getDemand) => {
                const delays = LinkDelays.create();
                for (let count = 0; count < 20; count++) {
                    delays.recordFirstEvent(["a", "a"], drawFirstEvent(random), 0);
                }
                const getNodeCount = () => replayNodeCount;
                const admission = createAdmission({ random, delays, getDemand, getNodeCount });
                const crossings = new Map<ReplayRequest, { crossing: LinkCrossing; at: number; }>();
                const node: AdmissionNode = {
                    admission,
                    getWait: ({ promptTokens, arrivedAt, isReturn }, now) => {
                        admission.noteNeed(link, now);
                        const elapsedMilliseconds = now - arrivedAt;
                        return admission.getWait({ ...query, promptTokens, isReturn, elapsedMilliseconds }, now);
                    },
                    getRetryDelay: ({ promptTokens, answerTokens }, wait, now) => {
                        const waitMilliseconds = Math.min(wait, callerWaitMilliseconds);
                        return admission.bookRetry(
                            link,
                            replayModel,
                            promptTokens + answerTokens,
                            waitMilliseconds,
                            now,
                        );
                    },
                    begin: (request, now) => {
                        const { promptTokens, answerTokens } = request;
                        const crossing = admission.begin([link], replayModel, promptTokens, answerTokens, now);
                        crossings.set(request, { crossing, at: now });
                    },
                    noteEvent: (request, now) => {
                        const { crossing, at } = crossings.get(request)!;
                        delays.recordFirstEvent(["a", "b"], now - at, now);
                        crossing.noteEvent(now);
                    },
                    end: (request, now) => crossings.get(request)!.crossing.end(now),
                    tell: (peer, now) => {
                        const reports = admission.createReports(now);
                        (peer as AdmissionNode).admission.applyReports(String(index), getDemand(), reports, now);
                    },
                };
                return node;
            },
        })
    );
    const getMean = (get: (result: ReturnType<typeof replayLink>) => number) =>
        results.reduce((sum, result) => sum + get(result), 0) / results.length;
    const begun = getMean(result => result.begun);
    return {
        onTime: getMean(result => result.onTime * result.begun) / begun,
        usedFraction: getMean(({ usedFraction }) => usedFraction),
        refused: getMean(({ refused }) => refused),
        drainMilliseconds: Math.max(...results.map(({ drainMilliseconds }) => drainMilliseconds)),
    };
}

describe("LinkAdmission", () => {
    /**
     * Guards against a congested link: when no data centre is complete, all requests of all nodes need a link that bears a third of them.
     * With equal pacing from an unused share, 3 to 9 of 100 streams that were begun got their first event in time.
     */
    it("serves in time what a link bears when all nodes need it at once", () => {
        const { onTime, usedFraction, drainMilliseconds } = replay(31);
        assert.ok(onTime >= 0.95, `${onTime} of those begun were on time`);
        assert.ok(usedFraction >= 0.9, `${usedFraction} of the usable bandwidth`);
        assert.ok(drainMilliseconds < 1_000, `${drainMilliseconds} ms until the queue is empty`);
    });

    it("refuses nothing at a tenth of this load", () => {
        const { onTime, refused } = replay(3.1);
        assert.equal(refused, 0);
        assert.ok(onTime > 0.98, `${onTime} of those begun were on time`);
    });

    it("does not begin a stream that can't be on time any more, nor one whose caller would leave", () => {
        const delays = LinkDelays.create();
        const admission = createAdmission({ delays });
        assert.equal(admission.getWait(query, 0), 0);
        for (const ms of [100, 100]) {
            delays.recordFirstEvent(["a", "a"], ms, 0);
        }
        for (let count = 0; count < 20; count++) {
            delays.recordFirstEvent(["a", "b"], 700, 0);
        }
        assert.ok(admission.getWait(query, 0) > 0);
        assert.equal(admission.getWait({ ...query, isReturn: true }, 0), 0);
        assert.equal(admission.getWait({ ...query, isReturn: true, elapsedMilliseconds: 1_700 }, 0), Infinity);
        assert.equal(admission.getWait({ ...query, isRunning: true, elapsedMilliseconds: 1_700 }, 0), Infinity);
    });

    // Guards against an unused link: the usual time to a first event isn't measured again while all chains use a link.
    it("begins its share of the streams if first events were too slow for any of them to be on time", () => {
        const delays = LinkDelays.create();
        for (let count = 0; count < 200; count++) {
            delays.recordFirstEvent(["a", "a"], 400, 0);
        }
        const usableTokens = 1_000 * getUsableRate(replayModel) / getActivationBits(replayModel, 1);
        const getDemand = () => 3 * usableTokens / replayNodeCount;
        const admission = createAdmission({ delays, getDemand, getNodeCount: () => replayNodeCount });
        const { typicalPromptTokens, typicalAnswerTokens } = replayModel;
        const occupancy = (typicalPromptTokens + typicalAnswerTokens) / (usableTokens / replayNodeCount);
        let begun = 0;
        for (let now = 0; now < 20_000; now += 50) {
            if (admission.getWait(query, now) === 0) {
                begun += 1;
                admission.begin([link], replayModel, typicalPromptTokens, typicalAnswerTokens, now).noteEvent(
                    now + 500,
                );
            }
        }
        assert.ok(begun >= 0.7 * 20 / occupancy && begun <= 20 / occupancy + 1, `${begun} were begun`);
    });

    it("does not begin a stream more than twice over a link, and the second time only if the link is open", () => {
        const admission = createAdmission();
        assert.equal(admission.getWait({ ...query, beginCount: 1 }, 0), 0);
        assert.equal(admission.getWait({ ...query, beginCount: 2 }, 0), Infinity);
        admission.begin([link], replayModel, replayModel.typicalPromptTokens, 200, 0);
        assert.equal(admission.getWait({ ...query, beginCount: 1, isRunning: true }, 1_000), Infinity);
    });

    it("books the retries of refused callers one after the other", () => {
        const admission = createAdmission({ getNodeCount: () => replayNodeCount });
        const first = admission.bookRetry(link, replayModel, 850, 500, 0);
        const second = admission.bookRetry(link, replayModel, 850, 500, 0);
        assert.equal(first, 500);
        assert.ok(second > first + 1_000);
    });
});
