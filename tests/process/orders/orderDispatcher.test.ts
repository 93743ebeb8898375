import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { events } from "../../../src/process/logging/events.ts";
import { PausableClock } from "../../support/pausableClock.ts";
import { OrderTestHarness } from "./orderTestHarness.ts";

const large = (start: number, end: number) => ({ model: "large", start, end });
const small = { model: "small", start: 0, end: 4 };
const layers = { a: [large(0, 4)], b: [large(4, 8)], c: [large(8, 12)], d: [small], e: [small] };
const lost = large(4, 8);
/**
 * Time after which another node holds the lease if the holder stops renewing it, in milliseconds: the lease's time to
 * live (4 s), the longest order (3 s) and a margin for clock drift and retries.
 */
const takeoverMilliseconds = 9_000;

type PausePoint = "beforeStatus" | "afterWrite" | "beforeDelivery";

/** Creates a promise that a test resolves. */
function createGate() {
    let resolve = () => undefined as void;
    const promise = new Promise<void>(settle => resolve = settle);
    return { promise, resolve };
}

/** Creates a fleet in which node `a` holds the lease and engine `b` has just become unreachable. */
async function createLoss(options: Partial<Parameters<typeof OrderTestHarness.create>[0]> = {}) {
    const harness = OrderTestHarness.create({ layers, ...options });
    const pausable = PausableClock.create(harness.clock);
    const [first, second] = [harness.createNode("a", pausable), harness.createNode("b")];
    first.start();
    second.start();
    await harness.clock.advance(2_000);
    harness.setState("b", "unreachable");
    return { harness, pausable, first, second };
}

/**
 * Creates the same fleet after node `a` was paused during a round, and node `b` took over and had the lost range
 * loaded.
 */
async function createTakeover(checksFencing: boolean, pausePoint: PausePoint) {
    const { harness, pausable } = await createLoss({ checksFencing });
    const paused = createGate();
    harness[pausePoint] = (nodeId = harness.owner) => {
        if (nodeId !== "a") {
            return;
        }
        pausable.pause();
        return paused.promise;
    };
    await harness.clock.advance(5_000);
    harness.owner = "b";
    await harness.clock.advance(takeoverMilliseconds + 7_000);
    assert.equal(harness.isServed(lost), true);
    const resume = async () => {
        harness[pausePoint] = () => undefined;
        paused.resolve();
        pausable.resume();
        await harness.clock.advance(20_000);
    };
    return { harness, resume };
}

describe("OrderDispatcher", () => {
    it("orders a lost range to be loaded once, after the grace period", async () => {
        const { harness } = await createLoss();
        await harness.clock.advance(2_500);
        assert.equal(harness.sent.length, 0);
        await harness.clock.advance(60_000);
        assert.equal(harness.isServed(lost), true);
        assert.deepEqual(harness.sent.map(({ nodeId, order, status }) => [nodeId, order.range, status]), [[
            "a",
            lost,
            200,
        ]]);
        assert.ok(harness.log.numbers.includes(events.layersLoaded.number));
    });

    it("orders no loads for repeated freezes that are shorter than the grace period", async () => {
        const { harness } = await createLoss();
        for (let freeze = 0; freeze < 20; freeze += 1) {
            await harness.clock.advance(2_500);
            harness.setState("b", "serving");
            await harness.clock.advance(500);
            harness.setState("b", "unreachable");
        }
        assert.equal(harness.sent.length, 0);
    });

    it("resends a lost order, and chooses another engine after the load's deadline", async () => {
        const { harness } = await createLoss({ policy: { loadDeadlineMilliseconds: 10_000 } });
        harness.losesOrders = true;
        await harness.clock.advance(6_000);
        harness.losesOrders = false;
        await harness.clock.advance(12_000);
        assert.equal(new Set(harness.sent.map(sent => sent.endpoint)).size, 1);
        assert.equal(harness.isServed(lost), true);
        harness.losesOrders = true;
        harness.setState("c", "unreachable");
        await harness.clock.advance(20_000);
        const targets = harness.sent.filter(sent => sent.order.range.start === 8).map(sent => sent.endpoint);
        assert.equal(new Set(targets).size, 2);
    });

    it("sends no orders to an engine that is unreachable or leaving", async () => {
        for (const state of ["unreachable", "leaving"] as const) {
            const { harness } = await createLoss();
            harness.losesOrders = true;
            await harness.clock.advance(4_500);
            const [{ endpoint } = { endpoint: "" }] = harness.sent;
            harness.setState(endpoint, state);
            const before = harness.sent.length;
            await harness.clock.advance(2_000);
            assert.ok(harness.sent.slice(before).every(sent => sent.endpoint !== endpoint));
        }
    });

    it("resends an order to an engine that restarted during the load", async () => {
        const { harness } = await createLoss();
        await harness.clock.advance(4_500);
        const [{ endpoint } = { endpoint: "" }] = harness.sent;
        harness.restart(endpoint);
        await harness.clock.advance(8_000);
        assert.deepEqual(harness.sent.map(sent => sent.endpoint), [endpoint, endpoint]);
        assert.equal(harness.isServed(lost), true);
    });

    it("limits concurrent loads and loads per minute, also across a change of the lease holder", async () => {
        const { harness, first } = await createLoss({
            policy: { maximumConcurrentLoads: 1, maximumLoadsPerMinute: 2 },
        });
        harness.setState("a", "unreachable");
        harness.setState("c", "unreachable");
        await harness.clock.advance(4_500);
        assert.equal(harness.sent.length, 1);
        await harness.clock.advance(15_500);
        assert.equal(harness.sent.length, 2);
        harness.owner = "b";
        await first.stop();
        await harness.clock.advance(40_000);
        assert.equal(harness.sent.length, 2);
        await harness.clock.advance(70_000);
        assert.deepEqual(harness.sent.map(sent => sent.nodeId), ["a", "a", "b"]);
    });

    it("completes the loads of the previous lease holder on the same engines", async () => {
        const { harness, pausable } = await createLoss();
        harness.losesOrders = true;
        await harness.clock.advance(4_500);
        pausable.pause();
        harness.full.add(harness.sent[0]?.endpoint ?? "");
        harness.losesOrders = false;
        harness.owner = "b";
        await harness.clock.advance(takeoverMilliseconds + 7_000);
        assert.equal(harness.isServed(lost), true);
        assert.equal(new Set(harness.sent.map(sent => sent.endpoint)).size, 1);
        assert.equal(harness.sent.at(-1)?.nodeId, "b");
    });

    it("sends no orders after its lease has expired while the store is down", async () => {
        const { harness } = await createLoss();
        harness.losesOrders = true;
        await harness.clock.advance(4_500);
        harness.store.setDown(true);
        await harness.clock.advance(4_000);
        const sent = harness.sent.length;
        harness.losesOrders = false;
        await harness.clock.advance(30_000);
        assert.equal(harness.sent.length, sent);
        harness.store.setDown(false);
        await harness.clock.advance(takeoverMilliseconds + 7_000);
        assert.equal(harness.isServed(lost), true);
    });

    for (const checksFencing of [true, false]) {
        const kind = checksFencing ? "checks" : "ignores";

        for (const pausePoint of ["beforeStatus", "afterWrite"] as const) {
            it(`sends nothing after a pause at ${pausePoint} and a takeover if an engine ${kind} the fencing number`, async () => {
                const { harness, resume } = await createTakeover(checksFencing, pausePoint);
                await resume();
                assert.deepEqual(harness.sent.map(sent => sent.nodeId), ["b"]);
            });
        }

        it(`reaches the desired state despite a late order to an engine that ${kind} the fencing number`, async () => {
            const { harness, resume } = await createTakeover(checksFencing, "beforeDelivery");
            await resume();
            const orders = harness.sent.map(({ nodeId, status }) => [nodeId, status]);
            assert.deepEqual(orders, [["a", checksFencing ? 409 : 200], ["b", 200]]);
            assert.equal(new Set(harness.sent.map(sent => sent.endpoint)).size, 1);
            assert.equal(harness.isServed(lost), true);
        });
    }

    it("discards an old plan after it reacquires the lease under a higher fencing number", async () => {
        const { harness, pausable } = await createLoss();
        const held = createGate();
        harness.beforeStatus = nodeId => nodeId === "a" ? held.promise : undefined;
        await harness.clock.advance(4_500);
        pausable.pause();
        await harness.clock.advance(5_000);
        pausable.resume();
        await harness.clock.advance(takeoverMilliseconds);
        const before = harness.sent.length;
        held.resolve();
        await harness.clock.advance(0);
        assert.equal(harness.sent.length, before);
        await harness.clock.advance(7_000);
        assert.equal(harness.isServed(lost), true);
    });

    it("releases the lease when it stops, so that the next holder need not wait for it to expire", async () => {
        const { harness, first } = await createLoss();
        harness.owner = "b";
        await first.stop();
        await harness.clock.advance(4_500);
        const record = JSON.parse(harness.store.peek("foxlead/leases/orders")?.value ?? "{}") as Record<
            string,
            unknown
        >;
        assert.deepEqual([record.holder, record.fencingNumber], ["b", 2]);
    });
});
