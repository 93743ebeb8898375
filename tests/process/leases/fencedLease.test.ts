import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Clock } from "../../../src/process/clock.ts";
import { FencedLease } from "../../../src/process/leases/fencedLease.ts";
import { FakeClock } from "../../support/fakeClock.ts";
import { MemoryStore } from "../../support/memoryStore.ts";
import { PausableClock } from "../../support/pausableClock.ts";

const timeToLive = 3_000;
const longestOrder = 1_000;
/** Time after which a successor holds the lease of a holder that stopped renewing. */
const takeoverTime = timeToLive + longestOrder + 1_000;

/** An endpoint that is assigned roles by orders. */
class FakeEndpoint {
    readonly roles: string[] = [];
    private readonly isChecking: boolean;
    private highestNumber = 0;

    constructor(isChecking: boolean) {
        this.isChecking = isChecking;
    }

    order(fencingNumber: number, role: string): void {
        if (this.isChecking && fencingNumber < this.highestNumber) {
            return;
        }
        this.highestNumber = fencingNumber;
        this.roles.push(role);
    }
}

function createFixture() {
    const clock = FakeClock.create();
    const store = MemoryStore.create();
    function createLease(holder: string, ownClock: Clock = clock): FencedLease {
        return FencedLease.create({
            store,
            clock: ownClock,
            random: () => 0.5,
            log: { write: () => undefined },
            key: "foxlead/leases/orders",
            holder,
            timeToLiveMilliseconds: timeToLive,
            longestOrderMilliseconds: longestOrder,
        });
    }
    return { clock, store, createLease };
}

async function createPausedHolder() {
    const { clock, createLease } = createFixture();
    const pausable = PausableClock.create(clock);
    const [holder, successor] = [createLease("a", pausable), createLease("b")];
    holder.start();
    await clock.advance(10);
    successor.start();
    await clock.advance(10);
    assert.equal(holder.getFencingNumber(), 1);
    pausable.pause();
    return { clock, pausable, holder, successor };
}

describe("FencedLease", () => {
    it("is held by one process and renewed", async () => {
        const { clock, createLease } = createFixture();
        const [first, second] = [createLease("a"), createLease("b")];
        first.start();
        await clock.advance(10);
        second.start();
        await clock.advance(20 * timeToLive);
        assert.equal(first.getFencingNumber(), 1);
        assert.equal(second.withFencing(() => 0).err, true);
    });

    it("is released without work, and is acquired immediately by a process that knows its record when there is work", async () => {
        const { clock, store, createLease } = createFixture();
        const [first, second] = [createLease("a"), createLease("b")];
        first.start();
        await clock.advance(10);
        first.rest();
        second.rest();
        await clock.advance(takeoverTime);
        const before = store.getCallCount();
        first.rest();
        second.rest();
        await clock.advance(20 * timeToLive);
        assert.equal(store.getCallCount(), before);
        assert.equal(first.isHeld(), false);
        second.start();
        await clock.advance(100);
        assert.equal(second.getFencingNumber(), 2);
        first.start();
        await clock.advance(100);
        assert.equal(first.isHeld(), false);
    });

    it("is acquired within half a second after a release, despite renewals that the successor has not seen", async () => {
        const { clock, createLease } = createFixture();
        const [first, second] = [createLease("a"), createLease("b")];
        first.start();
        second.rest();
        await clock.advance(5 * timeToLive);
        assert.equal(first.getFencingNumber(), 1);
        first.rest();
        await clock.advance(10);
        assert.equal(first.isHeld(), false);
        assert.equal(first.getLastNumber(), 1);
        second.noteRelease(first.getNewestRelease()!);
        await clock.advance(longestOrder + 100);
        second.start();
        await clock.advance(500);
        assert.equal(second.getFencingNumber(), 2);
        first.start();
        await clock.advance(100);
        assert.equal(first.getLastNumber(), undefined);
    });

    // Each renewal of a lease without orders is a priced call, and a release after each order let the lease change hands every second.
    it("is kept without calls to the store, acquired again at once after it expired, and released even then", async () => {
        const { clock, store, createLease } = createFixture();
        const [first, second] = [createLease("a"), createLease("b")];
        first.start();
        second.rest();
        await clock.advance(10);
        const before = store.getCallCount();
        first.keep();
        await clock.advance(timeToLive - 100);
        assert.equal(first.getFencingNumber(), 1);
        await clock.advance(2 * timeToLive);
        assert.equal(store.getCallCount(), before);
        assert.equal(first.isHeld(), false);
        first.start();
        await clock.advance(10);
        assert.equal(first.getFencingNumber(), 2);
        first.keep();
        await clock.advance(2 * timeToLive);
        first.rest();
        await clock.advance(10);
        second.noteRelease(first.getNewestRelease()!);
        await clock.advance(longestOrder + 100);
        second.start();
        await clock.advance(500);
        assert.equal(second.getFencingNumber(), 3);
    });

    // A node that the store refused ignored that another one had held the lease since, and ordered with its last number.
    it("has no last number any more once its paused holder hears of a later holder", async () => {
        const { clock, createLease } = createFixture();
        const lease = createLease("a");
        lease.start();
        await clock.advance(10);
        lease.noteRelease({ revision: 7, fencingNumber: 1 });
        assert.equal(lease.getFencingNumber(), 1);
        lease.noteRelease({ revision: 8, fencingNumber: 2 });
        assert.equal(lease.getFencingNumber(), undefined);
        assert.equal(lease.getLastNumber(), undefined);
        const paused = createLease("b");
        paused.noteRelease({ revision: 8, fencingNumber: 2 });
        await clock.advance(takeoverTime);
        paused.start();
        await clock.advance(10);
        const before = paused.getLastNumber()!;
        paused.keep();
        await clock.advance(takeoverTime);
        paused.pause();
        paused.noteRelease({ revision: 99, fencingNumber: before + 1 });
        assert.equal(paused.getLastNumber(), undefined);
    });

    // A successor counted the time to live from its first attempt to acquire the lease, when there was already something to order.
    it("is acquired at once by a process that has read the unchanged record of its lost holder long enough before", async () => {
        const { clock, createLease } = createFixture();
        const [holder, successor] = [createLease("a"), createLease("b")];
        successor.rest();
        await clock.advance(10);
        holder.start();
        await clock.advance(10);
        holder.keep();
        successor.refresh();
        await clock.advance(takeoverTime);
        assert.equal(successor.isHeld(), false);
        successor.start();
        await clock.advance(10);
        assert.equal(successor.getFencingNumber(), 2);
    });

    // A process with the same name may still be sending orders of an earlier start.
    it("is not acquired at once by a later process with the name of its holder", async () => {
        const { clock, createLease } = createFixture();
        createLease("a").start();
        await clock.advance(10);
        const later = createLease("a");
        later.start();
        await clock.advance(timeToLive);
        assert.equal(later.isHeld(), false);
    });

    it("has at most one holder if several processes start to acquire it", async () => {
        const { clock, createLease } = createFixture();
        const leases = ["a", "b", "c"].map(holder => createLease(holder));
        for (const lease of leases) {
            lease.rest();
        }
        await clock.advance(10);
        for (const lease of leases) {
            lease.start();
        }
        for (let passed = 0; passed < 2 * takeoverTime; passed += 10) {
            await clock.advance(10);
            assert.ok(leases.filter(lease => lease.isHeld()).length <= 1);
        }
        assert.equal(leases.filter(lease => lease.isHeld()).length, 1);
    });

    it("expires after missed renewals and never overlaps with its successor", async () => {
        const { clock, holder, successor } = await createPausedHolder();
        for (let passed = 0; passed < takeoverTime; passed += 10) {
            await clock.advance(10);
            assert.ok(!(holder.isHeld() && successor.isHeld()));
        }
        assert.equal(successor.getFencingNumber(), 2);
    });

    it("survives lost responses, but only within its time to live", async () => {
        const { clock, store, createLease } = createFixture();
        const lease = createLease("a");
        lease.start();
        await clock.advance(10);
        store.loseAnswers(2);
        await clock.advance(timeToLive);
        assert.equal(lease.getFencingNumber(), 1);
        store.loseAnswers(1_000);
        await clock.advance(2 * timeToLive);
        assert.equal(lease.isHeld(), false);
        store.loseAnswers(0);
        await clock.advance(takeoverTime);
        assert.equal(lease.getFencingNumber(), 2);
    });

    it("is acquired by a successor after a release and the maximum order time", async () => {
        const { clock, createLease } = createFixture();
        const [first, second] = [createLease("a"), createLease("b")];
        first.start();
        await clock.advance(10);
        await first.stop();
        second.start();
        await clock.advance(longestOrder);
        assert.equal(second.isHeld(), false);
        await clock.advance(timeToLive / 5);
        assert.equal(second.getFencingNumber(), 2);
    });

    it("is acquired sooner by a successor that is notified of the release", async () => {
        const { clock, createLease } = createFixture();
        const [holder, successor] = [createLease("a"), createLease("b")];
        holder.start();
        await clock.advance(10);
        successor.start();
        await clock.advance(10);
        await holder.stop();
        const release = holder.getNewestRelease();
        assert.equal(release?.fencingNumber, 1);
        successor.noteRelease(release);
        await clock.advance(longestOrder + 400);
        assert.equal(successor.getFencingNumber(), 2);
    });

    it("makes no calls while it is paused, and can be started again", async () => {
        const { clock, store, createLease } = createFixture();
        const [holder, other] = [createLease("a"), createLease("b")];
        holder.start();
        await clock.advance(10);
        other.start();
        await clock.advance(10);
        other.pause();
        holder.pause();
        assert.equal(holder.isHeld(), true);
        await clock.advance(5_000);
        assert.equal(holder.isHeld(), true);
        await holder.stop();
        const before = await store.get("foxlead/leases/orders");
        await clock.advance(10_000);
        assert.deepEqual(await store.get("foxlead/leases/orders"), before);
        other.start();
        await clock.advance(longestOrder + 1_000);
        assert.equal(other.getFencingNumber(), 2);
    });

    it("keeps the result of a call that was in flight at a pause", async () => {
        const { clock, createLease } = createFixture();
        const lease = createLease("a");
        lease.start();
        lease.pause();
        await clock.advance(10);
        lease.start();
        await clock.advance(2_000);
        assert.equal(lease.isHeld(), true);
        await clock.advance(10_000);
        assert.equal(lease.isHeld(), true);
    });

    it("sends no order after its paused holder resumes after a takeover, to an endpoint that ignores the number", async () => {
        const { clock, pausable, holder, successor } = await createPausedHolder();
        const endpoint = new FakeEndpoint(false);
        await clock.advance(takeoverTime);
        successor.withFencing(number => endpoint.order(number, "new"));
        const order = holder.withFencing(number => endpoint.order(number, "old"));
        pausable.resume();
        assert.equal(order.err, true);
        assert.deepEqual(endpoint.roles, ["new"]);
    });

    it("completes its longest order before the successor sends one, at an endpoint that ignores the number", async () => {
        const { clock, holder, successor } = await createPausedHolder();
        const endpoint = new FakeEndpoint(false);
        await clock.advance(timeToLive - 30);
        holder.withFencing(number => clock.setTimer(longestOrder, () => endpoint.order(number, "old")));
        for (let passed = 0; passed < takeoverTime && !successor.isHeld(); passed += 10) {
            await clock.advance(10);
        }
        successor.withFencing(number => endpoint.order(number, "new"));
        assert.deepEqual(endpoint.roles, ["old", "new"]);
    });

    it("has an order refused by an endpoint that checks the number, if its holder was paused before sending it", async () => {
        const { clock, holder, successor } = await createPausedHolder();
        const endpoint = new FakeEndpoint(true);
        const paused = holder.withFencing(number => () => endpoint.order(number, "old"));
        await clock.advance(takeoverTime);
        successor.withFencing(number => endpoint.order(number, "new"));
        if (paused.ok) {
            paused.val();
        }
        assert.equal(paused.ok, true);
        assert.deepEqual(endpoint.roles, ["new"]);
    });
});
