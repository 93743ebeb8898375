import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { StallDetector } from "../../../../src/request/relay/detection/stallDetector.ts";
import { FakeClock } from "../../../support/fakeClock.ts";

/** A stream over one endpoint. Only what the detector reads of it. */
class FakeStream {
    isRerouting = false;
    readonly attempts = this;
    readonly moves = this;
    readonly task = { route: { targetLatencyMilliseconds: 500 } };
    private readonly id: string;
    private readonly sentAt: number;
    private lastProgressAt: number;
    private isFirstEventSeen = false;

    constructor(id: string, sentAt: number) {
        this.id = id;
        this.sentAt = sentAt;
        this.lastProgressAt = sentAt;
    }

    receiveEvent(now: number): void {
        this.lastProgressAt = now;
        this.isFirstEventSeen = true;
    }

    getStages() {
        return [{ endpoint: { id: this.id } }];
    }

    getSentAt(): number {
        return this.sentAt;
    }

    getLastProgress(): number {
        return this.lastProgressAt;
    }

    hasEvents(): boolean {
        return this.isFirstEventSeen;
    }

    /** Ends the investigation, whose start is all that is tested here. */
    continueIfPathLost(): boolean {
        return true;
    }
}

/** Plays the events of streams by their times. Returns when each stream was first investigated, and the number of timers set. */
async function play(eventTimes: readonly (readonly number[])[], duration: number) {
    const clock = FakeClock.create();
    const investigatedAt = new Map<string, number>();
    const counts = { timers: 0 };
    const detector = StallDetector.create({
        environment: {} as never,
        clock: {
            getMonotonicTime: () => clock.getMonotonicTime(),
            getWallTime: () => clock.getWallTime(),
            setTimer: (delay, callback) => {
                counts.timers += 1;
                return clock.setTimer(delay, callback);
            },
        },
        fetchReport: ({ id }) => {
            investigatedAt.set(id, investigatedAt.get(id) ?? clock.getMonotonicTime());
            return Promise.resolve(undefined);
        },
        reroute: () => Promise.reject(new Error("No stream is moved.")),
    });
    for (const [index, times] of eventTimes.entries()) {
        const stream = new FakeStream(String(index), 0);
        detector.add(stream as never);
        for (const time of times) {
            clock.setTimer(time, () => stream.receiveEvent(time));
        }
    }
    await clock.advance(duration);
    return { investigatedAt, timers: counts.timers };
}

describe("StallDetector", () => {
    it("investigates each silent stream within 60 ms of its limit, whenever its last event came", async () => {
        const anyTimes = fc.array(fc.integer({ min: 1, max: 235 }), { minLength: 1, maxLength: 6 });
        await fc.assert(fc.asyncProperty(fc.array(anyTimes, { minLength: 1, maxLength: 4 }), async gaps => {
            const eventTimes = gaps.map(list =>
                list.map((_gap, index) => list.slice(0, index + 1).reduce((a, b) => a + b))
            );
            const { investigatedAt } = await play(eventTimes, 2_500);
            for (const [index, times] of eventTimes.entries()) {
                const late = investigatedAt.get(String(index))! - (times.at(-1)! + 240);
                assert.ok(late > 0 && late <= 61, `${late} ms`);
            }
        }));
    });

    it("wakes up rarely while all streams progress, since each wake-up takes processor time", async () => {
        const times = Array.from({ length: 60 }, (_item, index) => 50 + index * 50);
        const { timers, investigatedAt } = await play([times], 3_000);
        assert.equal(investigatedAt.size, 0);
        // At a fixed interval of 60 ms there are 50.
        assert.ok(timers <= 17, `${timers} timers`);
    });
});
