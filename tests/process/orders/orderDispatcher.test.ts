import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { events } from "../../../src/process/logging/events.ts";
import { PausableClock } from "../../support/pausableClock.ts";
import { OrderBench } from "./orderBench.ts";

const large = (start: number, end: number) => ({ model: "large", start, end });
const small = { model: "small", start: 0, end: 4 };
const layers = { a: [large(0, 4)], b: [large(4, 8)], c: [large(8, 12)], d: [small], e: [small] };
const lost = large(4, 8);
/** By then a successor holds the lease of a holder that stopped renewing: 4 s, 3 s and some for drift and retries. */
const takeoverTime = 9_000;

type PausePoint = "beforeStatus" | "afterWrite" | "beforeDelivery";

/** A promise that a test settles. */
function createGate() {
    let resolve = () => undefined as void;
    const promise = new Promise<void>(settle => resolve = settle);
    return { promise, resolve };
}

/** A fleet whose node `a` holds the lease and whose engine `b` has just vanished. */
async function createLoss(options: Partial<Parameters<typeof OrderBench.create>[0]> = {}) {
    const bench = OrderBench.create({ layers, ...options });
    const pausable = PausableClock.create(bench.clock);
    const [first, second] = [bench.createNode("a", pausable), bench.createNode("b")];
    first.start();
    second.start();
    await bench.clock.advance(2_000);
    bench.setState("b", "unreachable");
    return { bench, pausable, first, second };
}

/** The same after node `a` was paused in the middle of a round, and node `b` has taken over and had the range loaded. */
async function createTakeover(checksFencing: boolean, pausePoint: PausePoint) {
    const { bench, pausable } = await createLoss({ checksFencing });
    const paused = createGate();
    bench[pausePoint] = (nodeId = bench.owner) => {
        if (nodeId !== "a") {
            return;
        }
        pausable.pause();
        return paused.promise;
    };
    await bench.clock.advance(5_000);
    bench.owner = "b";
    await bench.clock.advance(takeoverTime + 7_000);
    assert.equal(bench.isServed(lost), true);
    const resume = async () => {
        bench[pausePoint] = () => undefined;
        paused.resolve();
        pausable.resume();
        await bench.clock.advance(20_000);
    };
    return { bench, resume };
}

describe("OrderDispatcher", () => {
    it("has a lost range loaded once, after the grace time", async () => {
        const { bench } = await createLoss();
        await bench.clock.advance(2_500);
        assert.equal(bench.sent.length, 0);
        await bench.clock.advance(60_000);
        assert.equal(bench.isServed(lost), true);
        assert.deepEqual(bench.sent.map(({ nodeId, order, status }) => [nodeId, order.range, status]), [[
            "a",
            lost,
            200,
        ]]);
        assert.ok(bench.log.numbers.includes(events.layersLoaded.number));
    });

    it("moves nothing on freezes shorter than the grace time, however many", async () => {
        const { bench } = await createLoss();
        for (let freeze = 0; freeze < 20; freeze += 1) {
            await bench.clock.advance(2_500);
            bench.setState("b", "serving");
            await bench.clock.advance(500);
            bench.setState("b", "unreachable");
        }
        assert.equal(bench.sent.length, 0);
    });

    it("sends again what was lost on the way, and chooses another engine at the load's deadline", async () => {
        const { bench } = await createLoss({ policy: { loadDeadlineMilliseconds: 10_000 } });
        bench.losesOrders = true;
        await bench.clock.advance(6_000);
        bench.losesOrders = false;
        await bench.clock.advance(12_000);
        assert.equal(new Set(bench.sent.map(sent => sent.endpoint)).size, 1);
        assert.equal(bench.isServed(lost), true);
        bench.losesOrders = true;
        bench.setState("c", "unreachable");
        await bench.clock.advance(20_000);
        const targets = bench.sent.filter(sent => sent.order.range.start === 8).map(sent => sent.endpoint);
        assert.equal(new Set(targets).size, 2);
    });

    it("sends nothing to an engine that has gone unreachable or leaves", async () => {
        for (const state of ["unreachable", "leaving"] as const) {
            const { bench } = await createLoss();
            bench.losesOrders = true;
            await bench.clock.advance(4_500);
            const [{ endpoint } = { endpoint: "" }] = bench.sent;
            bench.setState(endpoint, state);
            const before = bench.sent.length;
            await bench.clock.advance(2_000);
            assert.ok(bench.sent.slice(before).every(sent => sent.endpoint !== endpoint));
        }
    });

    it("sends an order again to an engine that has restarted during the load", async () => {
        const { bench } = await createLoss();
        await bench.clock.advance(4_500);
        const [{ endpoint } = { endpoint: "" }] = bench.sent;
        bench.restart(endpoint);
        await bench.clock.advance(8_000);
        assert.deepEqual(bench.sent.map(sent => sent.endpoint), [endpoint, endpoint]);
        assert.equal(bench.isServed(lost), true);
    });

    it("keeps to the loads at once and a minute, over a change of the holder too", async () => {
        const { bench, first } = await createLoss({ policy: { maximumLoads: 1, maximumLoadsPerMinute: 2 } });
        bench.setState("a", "unreachable");
        bench.setState("c", "unreachable");
        await bench.clock.advance(4_500);
        assert.equal(bench.sent.length, 1);
        await bench.clock.advance(15_500);
        assert.equal(bench.sent.length, 2);
        bench.owner = "b";
        await first.stop();
        await bench.clock.advance(40_000);
        assert.equal(bench.sent.length, 2);
        await bench.clock.advance(70_000);
        assert.deepEqual(bench.sent.map(sent => sent.nodeId), ["a", "a", "b"]);
    });

    it("has a successor finish the loads of its predecessor, at the same engines", async () => {
        const { bench, pausable } = await createLoss();
        bench.losesOrders = true;
        await bench.clock.advance(4_500);
        pausable.pause();
        bench.full.add(bench.sent[0]?.endpoint ?? "");
        bench.losesOrders = false;
        bench.owner = "b";
        await bench.clock.advance(takeoverTime + 7_000);
        assert.equal(bench.isServed(lost), true);
        assert.equal(new Set(bench.sent.map(sent => sent.endpoint)).size, 1);
        assert.equal(bench.sent.at(-1)?.nodeId, "b");
    });

    it("sends nothing once its lease has run out while the store is down", async () => {
        const { bench } = await createLoss();
        bench.losesOrders = true;
        await bench.clock.advance(4_500);
        bench.store.setDown(true);
        await bench.clock.advance(4_000);
        const sent = bench.sent.length;
        bench.losesOrders = false;
        await bench.clock.advance(30_000);
        assert.equal(bench.sent.length, sent);
        bench.store.setDown(false);
        await bench.clock.advance(takeoverTime + 7_000);
        assert.equal(bench.isServed(lost), true);
    });

    for (const checksFencing of [true, false]) {
        const kind = checksFencing ? "checks" : "ignores";

        for (const pausePoint of ["beforeStatus", "afterWrite"] as const) {
            it(`sends nothing after a pause ${pausePoint} and a takeover, where the engine ${kind} the number`, async () => {
                const { bench, resume } = await createTakeover(checksFencing, pausePoint);
                await resume();
                assert.deepEqual(bench.sent.map(sent => sent.nodeId), ["b"]);
            });
        }

        it(`leaves the wanted end state where an order comes too late, at an engine that ${kind} the number`, async () => {
            const { bench, resume } = await createTakeover(checksFencing, "beforeDelivery");
            await resume();
            const orders = bench.sent.map(({ nodeId, status }) => [nodeId, status]);
            assert.deepEqual(orders, [["a", checksFencing ? 409 : 200], ["b", 200]]);
            assert.equal(new Set(bench.sent.map(sent => sent.endpoint)).size, 1);
            assert.equal(bench.isServed(lost), true);
        });
    }

    it("does not go on with an old plan when it holds the lease again under a higher number", async () => {
        const { bench, pausable } = await createLoss();
        const held = createGate();
        bench.beforeStatus = nodeId => nodeId === "a" ? held.promise : undefined;
        await bench.clock.advance(4_500);
        pausable.pause();
        await bench.clock.advance(5_000);
        pausable.resume();
        await bench.clock.advance(takeoverTime);
        const before = bench.sent.length;
        held.resolve();
        await bench.clock.advance(0);
        assert.equal(bench.sent.length, before);
        await bench.clock.advance(7_000);
        assert.equal(bench.isServed(lost), true);
    });

    it("releases the lease when it stops, so that a successor need not wait for its end", async () => {
        const { bench, first } = await createLoss();
        bench.owner = "b";
        await first.stop();
        await bench.clock.advance(4_500);
        const record = JSON.parse(bench.store.peek("foxlead/leases/orders")?.value ?? "{}") as Record<string, unknown>;
        assert.deepEqual([record.holder, record.fencingNumber], ["b", 2]);
    });
});
