import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { StartLine } from "../../../../src/request/admission/start/startLine.ts";
import type { StartRequest } from "../../../../src/request/admission/start/startRequest.ts";

interface TestRequest extends StartRequest<string> {
    name: string;
}

/** A line before a number of tokens of room. */
function createBench(room = 0) {
    const line = StartLine.create<string>(() => 0.5, 0);
    const bench = {
        line,
        room,
        create: (name: string, changes: Partial<TestRequest> = {}): TestRequest => {
            const request: TestRequest = {
                name,
                rank: 1,
                customer: "c",
                cost: 100,
                timelyUntil: 350,
                waitsUntil: 1_200,
                longestReturnMilliseconds: 6_000,
                takePlace: () => {
                    if (bench.room < request.cost) {
                        return undefined;
                    }
                    bench.room -= request.cost;
                    return name;
                },
                isServable: () => true,
                getLimitReturn: () => undefined,
                ...changes,
            };
            return request;
        },
        /** Lets a request of 100 tokens run and end, so that the line knows a pace. */
        pace: (milliseconds: number) => {
            bench.room += 100;
            line.decideArrival(bench.create("pace"), 0);
            line.noteEnd(100, milliseconds, 0);
        },
        review: (now: number) =>
            line.review(now).map(({ request, decision }) => `${decision.kind} ${(request as TestRequest).name}`),
    };
    return bench;
}

describe("StartLine", () => {
    it("starts what there is room for, and lets others wait for it", () => {
        const bench = createBench(100);
        assert.deepEqual(bench.line.decideArrival(bench.create("first"), 0), { kind: "start", place: "first" });
        assert.equal(bench.line.decideArrival(bench.create("second"), 0).kind, "wait");
        bench.room = 100;
        assert.deepEqual(bench.review(10), ["start second"]);
        assert.equal(bench.line.getLength(), 0);
    });

    it("turns away at once, with that time to come back, whom only limits of endpoints hold up", () => {
        const bench = createBench(0);
        const limited = bench.create("limited", { getLimitReturn: () => 800 });
        assert.deepEqual(bench.line.decideArrival(limited, 0), {
            kind: "refuse",
            cause: "its endpoints limit what they take.",
            retryAfterMilliseconds: 800,
        });
        assert.equal(bench.line.getLength(), 0);
    });

    it("turns away on arrival who would wait past the objective, and tells when to come back", () => {
        const bench = createBench(100);
        bench.pace(1_000);
        bench.room = 100;
        bench.line.decideArrival(bench.create("running"), 0);
        // One place that a request of 100 tokens holds for a second: 0.1 tokens a millisecond.
        const decision = bench.line.decideArrival(bench.create("late"), 0);
        assert.equal(decision.kind, "refuse");
        assert.ok(decision.kind === "refuse" && decision.retryAfterMilliseconds > 100);
    });

    it("spreads the returns of those that are turned away", () => {
        const bench = createBench(100);
        bench.pace(1_000);
        bench.room = 100;
        bench.line.decideArrival(bench.create("running"), 0);
        const times: number[] = [];
        for (let index = 0; index < 4; index++) {
            const decision = bench.line.decideArrival(bench.create(`${index}`), 0);
            times.push(decision.kind === "refuse" ? decision.retryAfterMilliseconds : NaN);
        }
        assert.deepEqual(times, times.toSorted((left, right) => left - right));
        assert.ok(times[3]! - times[0]! >= 2_000);
        assert.ok(times.every(time => time <= 6_000));
    });

    it("refuses at once what no endpoints could serve", () => {
        const bench = createBench();
        const decision = bench.line.decideArrival(bench.create("never", { isServable: () => false }), 0);
        assert.equal(decision.kind, "refuse");
        assert.equal(bench.line.getLength(), 0);
    });

    it("lets who can still be in time go before who is late, and the customer that was given least first", () => {
        const bench = createBench();
        bench.line.decideArrival(bench.create("late", { timelyUntil: -1 }), 0);
        bench.room = 300;
        bench.line.decideArrival(bench.create("large", { cost: 300, customer: "large" }), 0);
        bench.line.decideArrival(bench.create("of the large one", { customer: "large" }), 0);
        bench.line.decideArrival(bench.create("of a small one", { customer: "small" }), 0);
        bench.room = 200;
        assert.deepEqual(bench.review(10).slice(0, 2), ["start of a small one", "start of the large one"]);
    });

    it("lets small requests pass a large one a few times, and then no more", () => {
        const bench = createBench();
        bench.line.decideArrival(bench.create("large", { cost: 500, timelyUntil: 1_000 }), 0);
        const started: string[] = [];
        for (let index = 0; index < 10; index++) {
            bench.room += 100;
            const decision = bench.line.decideArrival(bench.create(`${index}`, { timelyUntil: 2_000 }), index);
            started.push(...(decision.kind === "start" ? [`start ${index}`] : []), ...bench.review(index));
        }
        assert.ok(started.indexOf("start large") <= 5, started.join());
        assert.ok(started.includes("start large"));
    });

    it("gives up at once who could only be late and for whom nothing will be left", () => {
        const bench = createBench();
        bench.pace(1_000);
        bench.line.noteStart();
        // New requests take more than the pace.
        for (let index = 0; index < 30; index++) {
            bench.line.decideArrival(bench.create(`new ${index}`), 0);
        }
        bench.line.decideArrival(bench.create("waiting", { cost: 20 }), 0);
        const reviewed = bench.review(400);
        assert.ok(reviewed.every(text => text.startsWith("refuse")));
        assert.equal(bench.line.getLength(), 0);
    });

    it("lets nobody wait past its time, gives no place twice and keeps none in the line that was started", () => {
        const arrivals = fc.array(
            fc.record({ gap: fc.nat(200), cost: fc.integer({ min: 1, max: 900 }), isEnd: fc.boolean() }),
            { maxLength: 80 },
        );
        fc.assert(fc.property(arrivals, steps => {
            const bench = createBench(1_000);
            const running: number[] = [];
            const open = new Map<string, number>();
            let now = 0;
            for (const [index, { gap, cost, isEnd }] of steps.entries()) {
                now += gap;
                const ended = isEnd ? running.shift() : undefined;
                if (ended !== undefined) {
                    bench.room += ended;
                    bench.line.noteEnd(ended, 100, now);
                }
                const name = `${index}`;
                const times = { timelyUntil: now + 350, waitsUntil: now + 1_200 };
                const decision = bench.line.decideArrival(bench.create(name, { cost, ...times }), now);
                if (decision.kind === "start") {
                    running.push(cost);
                }
                if (decision.kind === "wait") {
                    open.set(name, now + 1_200);
                }
                for (const { request, decision: reviewed } of bench.line.review(now)) {
                    assert.ok(open.delete((request as TestRequest).name));
                    if (reviewed.kind === "start") {
                        running.push(request.cost);
                    }
                }
                assert.ok([...open.values()].every(until => until > now));
                assert.equal(bench.line.getLength(), open.size);
                assert.equal(running.reduce((sum, given) => sum + given, 0) + bench.room, 1_000);
            }
        }));
    });
});
