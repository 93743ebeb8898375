import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { getRetryPolicy } from "../../../src/process/router/getRetryPolicy.ts";
import { RetryTransfer } from "../../../src/process/router/retryTransfer.ts";
import { RetryBudget } from "../../../src/request/admission/retryBudget.ts";
import type { RetryPolicy } from "../../../src/request/admission/retryPolicy.ts";
import { StreamRetries } from "../../../src/request/admission/streamRetries.ts";
import { createSeededRandom } from "../../support/createSeededRandom.ts";
import { RecordingEventLog } from "../../support/recordingEventLog.ts";

const getPeerCount = () => 9;

/** Creates the retries of a node that has just started. */
function startNode(policy: RetryPolicy, now: number) {
    const budget = RetryBudget.create(now, () => policy);
    const streams = StreamRetries.create({ budget, onNeed: () => undefined });
    return { budget, streams, transfer: RetryTransfer.create({ budget, streams, log: RecordingEventLog.create() }) };
}

/** Creates the retries of a node that holds as many as its budget takes. */
function createNode(policy: RetryPolicy) {
    const node = startNode(policy, 0);
    node.budget.receive(policy.maximumBalance, 0);
    return node;
}

/** Lets streams that have begun wait at a node without retries. */
function createNeedyNode(maximumBalance: number, streamCount: number) {
    const node = createNode({ ratio: 0, perSecond: 0, maximumBalance });
    node.budget.giveAway(maximumBalance, 0, 0);
    const waiting = Array.from({ length: streamCount }, () => ({}));
    for (const stream of waiting) {
        node.streams.noteBegun(stream);
    }
    const search = (now: number) => waiting.map(stream => node.streams.isAvailable(stream, now));
    search(0);
    return { ...node, waiting, search };
}

describe("RetryTransfer", () => {
    it("asks some peers for what its streams need and its budget can hold", () => {
        assert.equal(createNeedyNode(10, 0).transfer.ask(0, getPeerCount), undefined);
        assert.deepEqual(createNeedyNode(10, 1).transfer.ask(0, getPeerCount), { peers: 3, wanted: 1 });
        assert.deepEqual(createNeedyNode(10, 6).transfer.ask(0, getPeerCount), { peers: 3, wanted: 2 });
        assert.deepEqual(createNeedyNode(100, 60).transfer.ask(0, getPeerCount), { peers: 3, wanted: 4 });
        assert.deepEqual(createNeedyNode(10, 6).transfer.ask(0, () => 2), { peers: 2, wanted: 3 });
        assert.equal(createNeedyNode(10, 6).transfer.ask(0, () => 0), undefined);
        assert.deepEqual(createNeedyNode(1, 6).transfer.ask(0, getPeerCount), { peers: 1, wanted: 1 });
    });

    it("asks again after pauses that grow while nothing is granted", () => {
        const { transfer, budget, search } = createNeedyNode(10, 9);
        const asked: number[] = [];
        for (let now = 0; now < 3_000; now += 50) {
            search(now);
            if (transfer.ask(now, getPeerCount) !== undefined) {
                asked.push(now);
            }
            if (now === 1_550) {
                transfer.accept({ address: "peer", wanted: 2, granted: 2 }, now);
            }
        }
        assert.equal(Math.floor(budget.getBalance(3_000)), 2);
        assert.deepEqual(asked, [0, 100, 300, 700, 1_500, 1_600, 1_700, 1_900, 2_300]);
    });

    it("grants what a node does not keep for its own streams, and none while these wait", () => {
        const { transfer, budget, streams } = createNode({ ratio: 0, perSecond: 0, maximumBalance: 3 });
        assert.equal(transfer.grant("peer", 0, 0), 0);
        assert.equal(transfer.grant("peer", 9, 0), 2);
        assert.equal(budget.getBalance(0), 1);
        assert.equal(transfer.grant("peer", 1, 0), 0);
        assert.ok(streams.take({}, 0) === false);
        assert.equal(createNeedyNode(3, 1).transfer.grant("peer", 1, 0), 0);
    });

    it("accepts no grant that it has not asked for", () => {
        const { transfer, budget } = createNeedyNode(10, 1);
        transfer.accept({ address: "peer", wanted: 0, granted: 5 }, 0);
        assert.equal(budget.getBalance(0), 0);
        transfer.accept({ address: "peer", wanted: 1, granted: 5 }, 0);
        assert.equal(budget.getBalance(0), 1);
    });

    // All nodes together may send only so many retries in a window, whatever moves between them.
    it("keeps the retries of all nodes within their limit while grants are lost or late and nodes restart", () => {
        const settings = { repeatRatio: 0.2, repeatSlack: 240, repeatWindowMilliseconds: 10_000 };
        const policy = getRetryPolicy(settings, 12);
        const restartMilliseconds = 2_500;
        for (const seed of [1, 2, 3, 4]) {
            const random = createSeededRandom(seed);
            const pick = () => Math.floor(random() * 12);
            const nodes = Array.from({ length: 12 }, () => createNode(policy));
            const late: { at: number; deliver(now: number): void; }[] = [];
            const streams = Array.from({ length: 12 }, () => ({}));
            const sent: number[] = [];
            let received = 0;
            for (let now = 0; now < 30_000; now += 10) {
                if (now % restartMilliseconds === 0) {
                    nodes[pick()] = startNode(policy, now);
                }
                for (const item of late.filter(({ at }) => at === now)) {
                    item.deliver(now);
                }
                // The streams of two nodes need all retries that there are, and other requests use some.
                for (const needy of nodes.slice(0, 2)) {
                    for (const stream of streams) {
                        needy.streams.noteBegun(stream);
                        while (needy.streams.take(stream, now)) {
                            sent.push(now);
                        }
                    }
                    const { peers, wanted } = needy.transfer.ask(now, getPeerCount) ?? { peers: 0, wanted: 0 };
                    for (let index = 0; index < peers; index++) {
                        const granted = nodes[pick()]!.transfer.grant("needy", wanted, now);
                        const deliver = (time: number) => {
                            received += granted;
                            needy.transfer.accept({ address: "peer", wanted, granted }, time);
                        };
                        if (random() < 0.7) {
                            late.push({ at: now + 10 + 10 * Math.floor(random() * 60), deliver });
                        }
                    }
                }
                if (nodes[pick()]!.streams.take({}, now)) {
                    sent.push(now);
                }
            }
            assert.ok(received > 0);
            for (const start of sent) {
                const end = start + settings.repeatWindowMilliseconds;
                const inWindow = sent.filter(at => at >= start && at < end).length;
                assert.ok(inWindow <= settings.repeatSlack, `${inWindow} retries were sent with seed ${seed}.`);
            }
        }
    });
});
