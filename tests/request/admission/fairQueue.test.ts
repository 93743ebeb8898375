import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FairQueue } from "../../../src/request/admission/fairQueue.ts";
import type { QueueEntry } from "../../../src/request/admission/queueEntry.ts";

function enqueueMany(
    queue: FairQueue<number>,
    customer: string,
    weight: number,
    costs: number[],
): QueueEntry<number>[] {
    return costs.map((cost, item) => queue.enqueue({ item, customer, weight, cost }));
}

function countTaken(queue: FairQueue<number>, entries: number): Map<string, number> {
    const taken = new Map<string, number>();
    for (let index = 0; index < entries; index++) {
        const entry = queue.dequeue();
        if (entry !== undefined) {
            taken.set(entry.customer, (taken.get(entry.customer) ?? 0) + entry.cost);
        }
    }
    return taken;
}

describe("FairQueue", () => {
    it("shares by weight and cost after each customer has used its burst allowance", () => {
        const queue = FairQueue.create<number>();
        enqueueMany(queue, "heavy", 3, Array<number>(900).fill(10));
        enqueueMany(queue, "light", 1, Array<number>(900).fill(10));
        enqueueMany(queue, "long", 1, Array<number>(900).fill(40));
        countTaken(queue, 100);
        const taken = countTaken(queue, 800);
        const light = taken.get("light") ?? 0;
        assert.ok(Math.abs((taken.get("heavy") ?? 0) / light - 3) < 0.1);
        assert.ok(Math.abs((taken.get("long") ?? 0) / light - 1) < 0.1);
    });

    it("serves a returning customer before another's backlog, without credit for its idle time", () => {
        const queue = FairQueue.create<number>();
        enqueueMany(queue, "large", 1, Array<number>(2_000).fill(10));
        countTaken(queue, 1_000);
        enqueueMany(queue, "small", 1, Array<number>(1_000).fill(10));
        assert.equal(queue.dequeue()?.customer, "small");
        const taken = countTaken(queue, 400);
        assert.ok(Math.abs((taken.get("small") ?? 0) - (taken.get("large") ?? 0)) <= 200);
    });

    it("charges a customer for tokens beyond the expected cost", () => {
        const queue = FairQueue.create<number>();
        enqueueMany(queue, "honest", 1, Array<number>(500).fill(10));
        enqueueMany(queue, "modest", 1, Array<number>(500).fill(10));
        let modest = 0;
        for (let index = 0; index < 400; index++) {
            if (queue.dequeue()?.customer === "modest") {
                modest++;
                queue.charge("modest", 1, 30);
            }
        }
        assert.ok(Math.abs(modest - 80) < 15, String(modest));
    });

    it("estimates whether entries of a cost go before a new entry", () => {
        const queue = FairQueue.create<number>();
        enqueueMany(queue, "large", 1, Array<number>(100).fill(10));
        countTaken(queue, 20);
        assert.equal(queue.isCostAheadOver("large", 790), true);
        assert.equal(queue.isCostAheadOver("large", 810), false);
        assert.equal(queue.isCostAheadOver("small", 20), false);
    });

    it("keeps counts and the order per customer correct for random operations", () => {
        const command = fc.record({ kind: fc.constantFrom("add", "add", "take", "remove"), pick: fc.nat(40) });
        fc.assert(
            fc.property(fc.array(command, { maxLength: 300 }), commands => {
                const queue = FairQueue.create<number>();
                let waiting: QueueEntry<number>[] = [];
                for (const [item, { kind, pick }] of commands.entries()) {
                    if (kind === "add") {
                        const customer = `customer${pick % 5}`;
                        waiting.push(queue.enqueue({ item, customer, weight: 1 + pick % 3, cost: 1 + pick }));
                        continue;
                    }
                    const entry = kind === "take" ? queue.dequeue() : waiting[pick % Math.max(1, waiting.length)];
                    assert.equal(entry === undefined, waiting.length === 0);
                    if (kind === "take") {
                        assert.equal(entry, waiting.find(each => each.customer === entry?.customer));
                    }
                    else if (entry !== undefined) {
                        assert.equal(queue.remove(entry), true);
                        assert.equal(queue.remove(entry), false);
                    }
                    waiting = waiting.filter(each => each !== entry);
                    assert.equal(queue.waitingCount, waiting.length);
                    assert.equal(queue.waitingCost, waiting.reduce((sum, each) => sum + each.cost, 0));
                }
            }),
            { seed: 1, numRuns: 200 },
        );
    });
});
