import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { StartQueue } from "../../../../src/request/admission/start/startQueue.ts";
import type { StartRequest } from "../../../../src/request/admission/start/startRequest.ts";

interface TestRequest extends StartRequest<string> {
    name: string;
}

/** Creates a queue in front of endpoints with free capacity for a number of tokens. */
function createFixture(freeTokens = 0) {
    const queue = StartQueue.create<string>(() => 0.5);
    const fixture = {
        queue,
        freeTokens,
        create: (name: string, changes: Partial<TestRequest> = {}): TestRequest => {
            const request: TestRequest = {
                name,
                rank: 1,
                customer: "c",
                cost: 100,
                latestOnTimeStart: 350,
                latestStart: 1_200,
                maximumRetryMilliseconds: 6_000,
                tryReserve: () => {
                    if (fixture.freeTokens < request.cost) {
                        return undefined;
                    }
                    fixture.freeTokens -= request.cost;
                    return name;
                },
                isServable: () => true,
                getPauseRetryMilliseconds: () => undefined,
                getLimitRetryMilliseconds: () => undefined,
                ...changes,
            };
            return request;
        },
        /** Runs a request of 100 tokens to its end, so that the queue can estimate the throughput. */
        learnThroughput: (milliseconds: number) => {
            fixture.freeTokens += 100;
            queue.decideArrival(fixture.create("pace"), 0);
            queue.recordEnd(100, milliseconds, 0);
        },
        review: (now: number) =>
            queue.review(now).map(({ request, decision }) => `${decision.kind} ${(request as TestRequest).name}`),
    };
    return fixture;
}

describe("StartQueue", () => {
    it("starts requests while there is capacity and queues the others", () => {
        const fixture = createFixture(100);
        assert.deepEqual(fixture.queue.decideArrival(fixture.create("first"), 0), {
            kind: "start",
            reservation: "first",
        });
        assert.equal(fixture.queue.decideArrival(fixture.create("second"), 0).kind, "wait");
        fixture.freeTokens = 100;
        assert.deepEqual(fixture.review(10), ["start second"]);
        assert.equal(fixture.queue.getLength(), 0);
    });

    // Guards against late streams over a congested link: requests waited for it until their callers left.
    it("queues a request that a link blocks only if it can still be on time, and refuses it with the link's time otherwise", () => {
        const fixture = createFixture(0);
        fixture.learnThroughput(10_000);
        let waitMilliseconds = 300;
        const changes = { getLinkBlock: () => ({ waitMilliseconds, bookRetry: () => waitMilliseconds + 500 }) };
        const decideArrival = (name: string) => fixture.queue.decideArrival(fixture.create(name, changes), 0);
        assert.deepEqual(decideArrival("soon"), { kind: "wait", expectedMilliseconds: 300 });
        waitMilliseconds = 400;
        const cause = "the link between its data centres has no capacity in time.";
        const refusal = { kind: "refuse", cause, bound: "link", retryAfterMilliseconds: 900 };
        assert.deepEqual(decideArrival("late"), refusal);
        assert.deepEqual(fixture.review(350), []);
        assert.deepEqual(fixture.review(351), ["refuse soon"]);
        assert.equal(fixture.queue.getLength(), 0);
    });

    // Guards against refusals for an idle link: a late request was refused since one that was on time preferred to wait for the link.
    it("starts a late request that a link no longer keeps waiting, though the link keeps one that is on time waiting", () => {
        const fixture = createFixture(0);
        fixture.learnThroughput(10_000);
        let now = 0;
        const create = (name: string, latestOnTimeStart: number): TestRequest => ({
            ...fixture.create(name, { latestOnTimeStart }),
            tryReserve: () => now > latestOnTimeStart ? name : undefined,
            getLinkBlock: () => ({ waitMilliseconds: 10, bookRetry: () => 500 }),
        });
        for (const [name, latestOnTimeStart] of [["first", 100], ["second", 300], ["third", 300]] as const) {
            assert.equal(fixture.queue.decideArrival(create(name, latestOnTimeStart), 0).kind, "wait");
        }
        now = 101;
        assert.deepEqual(fixture.review(now), ["start first"]);
        now = 301;
        assert.deepEqual(fixture.review(now), ["start second", "start third"]);
    });

    // Guards against late requests that overtake those of a higher rank which wait for a link, and against refusals of ones that were not tried.
    it("keeps a late request waiting behind one of a higher rank that a link keeps waiting", () => {
        const fixture = createFixture(0);
        fixture.learnThroughput(10_000);
        let now = 0;
        const create = (name: string, rank: number, latestOnTimeStart: number): TestRequest => ({
            ...fixture.create(name, { rank, latestOnTimeStart }),
            tryReserve: () => now > latestOnTimeStart ? name : undefined,
            getLinkBlock: () => ({ waitMilliseconds: 10, bookRetry: () => 500 }),
        });
        for (const [name, rank, latestOnTimeStart] of [["higher", 1, 300], ["lower", 2, 100]] as const) {
            assert.equal(fixture.queue.decideArrival(create(name, rank, latestOnTimeStart), 0).kind, "wait");
        }
        now = 101;
        assert.deepEqual(fixture.review(now), []);
        now = 301;
        assert.deepEqual(fixture.review(now), ["start higher", "start lower"]);
    });

    // Guards against callers of the first rank that are told to wait for the retries of a flood of the last one.
    it("gives a refused request a retry delay by the requests and retries of its rank and higher ones", () => {
        const fixture = createFixture();
        fixture.learnThroughput(100);
        fixture.queue.recordStart();
        const refuse = (rank: number) => {
            const request = fixture.create("late", { rank, cost: 1_000, latestOnTimeStart: -1, latestStart: 100 });
            const decision = fixture.queue.decideArrival(request, 0);
            assert.ok(decision.kind === "refuse");
            return decision.retryAfterMilliseconds;
        };
        const alone = refuse(0);
        for (let index = 0; index < 3; index++) {
            fixture.queue.decideArrival(fixture.create("new", { rank: 2, latestOnTimeStart: 1, latestStart: 1 }), 0);
            refuse(2);
        }
        assert.equal(refuse(0) - alone, 1_000);
        assert.ok(refuse(2) > 4_000);
    });

    // Guards against a rank whose share runs out while one of its requests waits that was overtaken too often to be overtaken again.
    it("starts others before a request that is held after it was overtaken", () => {
        const fixture = createFixture(0);
        let isHeld = false;
        fixture.queue.decideArrival(fixture.create("large", { rank: 0, cost: 1_000, isHeld: () => isHeld }), 0);
        for (let index = 0; index < 4; index++) {
            fixture.freeTokens = 100;
            assert.equal(fixture.queue.decideArrival(fixture.create("other"), 0).kind, "start");
        }
        fixture.freeTokens = 100;
        assert.notEqual(fixture.queue.decideArrival(fixture.create("blocked"), 0).kind, "start");
        isHeld = true;
        assert.equal(fixture.queue.decideArrival(fixture.create("free"), 0).kind, "start");
    });

    // Guards against a request that may not start yet and keeps others from free capacity, as one that is overtaken too often does.
    it("starts others before a request that is held, and this one as soon as it no longer is", () => {
        const fixture = createFixture(0);
        let isHeld = true;
        fixture.queue.decideArrival(fixture.create("held", { rank: 0, isHeld: () => isHeld }), 0);
        for (let index = 0; index < 6; index++) {
            fixture.freeTokens = 100;
            assert.equal(fixture.queue.decideArrival(fixture.create("other"), 0).kind, "start");
        }
        fixture.freeTokens = 0;
        fixture.queue.decideArrival(fixture.create("waiting"), 0);
        fixture.freeTokens = 100;
        assert.deepEqual(fixture.review(10), ["start waiting"]);
        fixture.freeTokens = 100;
        isHeld = false;
        assert.deepEqual(fixture.review(20), ["start held"]);
    });

    it("immediately refuses a request that only endpoint limits block, with their retry delay", () => {
        const fixture = createFixture(0);
        const limited = fixture.create("limited", { getLimitRetryMilliseconds: () => 800 });
        assert.deepEqual(fixture.queue.decideArrival(limited, 0), {
            kind: "refuse",
            cause: "its endpoints limit what they take.",
            bound: "limit",
            retryAfterMilliseconds: 800,
        });
        assert.equal(fixture.queue.getLength(), 0);
    });

    it("refuses a request on arrival that would miss the objective, with a retry delay", () => {
        const fixture = createFixture(100);
        fixture.learnThroughput(1_000);
        fixture.freeTokens = 100;
        fixture.queue.decideArrival(fixture.create("running"), 0);
        // One running request of 100 tokens that takes 1 s: 0.1 tokens a millisecond.
        const decision = fixture.queue.decideArrival(fixture.create("late"), 0);
        assert.ok(decision.kind === "refuse");
        assert.equal(decision.bound, "capacity");
        assert.ok(decision.retryAfterMilliseconds > 100);
    });

    it("spreads the retries of refused requests", () => {
        const fixture = createFixture(100);
        fixture.learnThroughput(1_000);
        fixture.freeTokens = 100;
        fixture.queue.decideArrival(fixture.create("running"), 0);
        const times: number[] = [];
        for (let index = 0; index < 4; index++) {
            const decision = fixture.queue.decideArrival(fixture.create(`${index}`), 0);
            times.push(decision.kind === "refuse" ? decision.retryAfterMilliseconds : NaN);
        }
        assert.deepEqual(times, times.toSorted((left, right) => left - right));
        assert.ok(times[3]! - times[0]! >= 2_000);
        assert.ok(times.every(time => time <= 6_000));
    });

    it("immediately refuses a request that the endpoints can't serve", () => {
        const fixture = createFixture();
        const decision = fixture.queue.decideArrival(fixture.create("never", { isServable: () => false }), 0);
        assert.ok(decision.kind === "refuse");
        assert.equal(decision.bound, "layers");
        assert.equal(fixture.queue.getLength(), 0);
    });

    it("refuses a request whose endpoints want a pause, on arrival and while it waits, with the time after which they accept it", () => {
        const fixture = createFixture();
        let isPaused = false;
        const changes: Partial<TestRequest> = {
            isServable: () => !isPaused,
            getPauseRetryMilliseconds: () => 3_000,
        };
        fixture.queue.decideArrival(fixture.create("waiting", changes), 0);
        assert.deepEqual(fixture.queue.reviewServability(), []);
        isPaused = true;
        const refusal = {
            kind: "refuse",
            cause: "its endpoints accept no requests for some time.",
            bound: "pause",
            retryAfterMilliseconds: 3_000,
        };
        assert.deepEqual(fixture.queue.reviewServability().map(({ decision }) => decision), [refusal]);
        assert.deepEqual(fixture.queue.decideArrival(fixture.create("arriving", changes), 0), refusal);
        assert.equal(fixture.queue.getLength(), 0);
    });

    it("starts requests that are on time before late ones, and the customer with the least granted work first", () => {
        const fixture = createFixture();
        fixture.queue.decideArrival(fixture.create("late", { latestOnTimeStart: -1 }), 0);
        fixture.freeTokens = 300;
        fixture.queue.decideArrival(fixture.create("large", { cost: 300, customer: "large" }), 0);
        fixture.queue.decideArrival(fixture.create("of the large one", { customer: "large" }), 0);
        fixture.queue.decideArrival(fixture.create("of a small one", { customer: "small" }), 0);
        fixture.freeTokens = 200;
        assert.deepEqual(fixture.review(10).slice(0, 2), ["start of a small one", "start of the large one"]);
    });

    it("lets small requests overtake a large one only a limited number of times", () => {
        const fixture = createFixture();
        fixture.queue.decideArrival(fixture.create("large", { cost: 500, latestOnTimeStart: 1_000 }), 0);
        const started: string[] = [];
        for (let index = 0; index < 10; index++) {
            fixture.freeTokens += 100;
            const decision = fixture.queue.decideArrival(
                fixture.create(`${index}`, { latestOnTimeStart: 2_000 }),
                index,
            );
            started.push(...(decision.kind === "start" ? [`start ${index}`] : []), ...fixture.review(index));
        }
        assert.ok(started.indexOf("start large") <= 5, started.join());
        assert.ok(started.includes("start large"));
    });

    it("refuses waiting requests as soon as they are late if new requests use all of the throughput", () => {
        const fixture = createFixture();
        fixture.learnThroughput(1_000);
        fixture.queue.recordStart();
        // The rate of new requests exceeds the throughput.
        for (let index = 0; index < 30; index++) {
            fixture.queue.decideArrival(fixture.create(`new ${index}`), 0);
        }
        fixture.queue.decideArrival(fixture.create("waiting", { cost: 20 }), 0);
        const reviewed = fixture.review(400);
        assert.ok(reviewed.every(text => text.startsWith("refuse")));
        assert.equal(fixture.queue.getLength(), 0);
    });

    it("never lets a request wait past its latest start, reserves capacity twice or keeps a started request queued", () => {
        const arrivals = fc.array(
            fc.record({ gap: fc.nat(200), cost: fc.integer({ min: 1, max: 900 }), isEnd: fc.boolean() }),
            { maxLength: 80 },
        );
        fc.assert(fc.property(arrivals, steps => {
            const fixture = createFixture(1_000);
            const running: number[] = [];
            const open = new Map<string, number>();
            let now = 0;
            for (const [index, { gap, cost, isEnd }] of steps.entries()) {
                now += gap;
                const ended = isEnd ? running.shift() : undefined;
                if (ended !== undefined) {
                    fixture.freeTokens += ended;
                    fixture.queue.recordEnd(ended, 100, now);
                }
                const name = `${index}`;
                const times = { latestOnTimeStart: now + 350, latestStart: now + 1_200 };
                const decision = fixture.queue.decideArrival(fixture.create(name, { cost, ...times }), now);
                if (decision.kind === "start") {
                    running.push(cost);
                }
                if (decision.kind === "wait") {
                    open.set(name, now + 1_200);
                }
                for (const { request, decision: reviewed } of fixture.queue.review(now)) {
                    assert.ok(open.delete((request as TestRequest).name));
                    if (reviewed.kind === "start") {
                        running.push(request.cost);
                    }
                }
                assert.ok([...open.values()].every(until => until > now));
                assert.equal(fixture.queue.getLength(), open.size);
                assert.equal(running.reduce((sum, reserved) => sum + reserved, 0) + fixture.freeTokens, 1_000);
            }
        }));
    });
});
