import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { LeaseAction } from "../../../src/process/placement/leaseAction.ts";
import { PlacementController } from "../../../src/process/placement/placementController.ts";
import type { HeldLayers } from "../../../src/request/relay/endpoints/heldLayers.ts";
import type { LayerOrder } from "../../../src/request/relay/endpoints/layerOrder.ts";
import type { RegisteredEndpoint } from "../../../src/request/relay/endpoints/registeredEndpoint.ts";
import { createEndpoint, relayModel } from "../../request/relay/relayModel.ts";
import { FakeClock } from "../../support/fakeClock.ts";
import { MemoryStore } from "../../support/memoryStore.ts";
import { RecordingEventLog } from "../../support/recordingEventLog.ts";

const first = { start: 8, end: 24 };
const second = { start: 24, end: 40 };
const third = { start: 40, end: 56 };
const kind = "middle";
const planKey = "placement/model";

function createMiddle(id: string, layers?: HeldLayers): RegisteredEndpoint {
    return createEndpoint(id, { kind, layers });
}

describe("PlacementController", () => {
    let clock: FakeClock;
    let store: MemoryStore;
    let endpoints: RegisteredEndpoint[];
    let firstOrders: number[];
    let orders: { endpoint: string; order: LayerOrder; }[];

    beforeEach(() => {
        clock = FakeClock.create();
        store = MemoryStore.create();
        orders = [];
        firstOrders = [];
        endpoints = [createMiddle("x", second), createMiddle("y", third), createMiddle("z")];
    });

    function start(
        fencingNumber: number,
        changes: Partial<Parameters<typeof PlacementController.create>[0]> = {},
    ): PlacementController {
        const controller = PlacementController.create({
            store,
            lease: {
                getFencingNumber: () => fencingNumber,
                getLastNumber: () => fencingNumber,
                isLastHolder: () => true,
            },
            isStoreLost: () => false,
            isCandidate: () => true,
            clock,
            runLong: (_name, action) => action(),
            log: RecordingEventLog.create(),
            keyPrefix: "placement/",
            getModelServices: () => [{ name: "model", engine: relayModel }] as never,
            getEndpoints: () => endpoints,
            getLostEndpoints: () => [],
            sendOrder: async ({ id }, order) => {
                orders.push({ endpoint: id, order });
                return { kind: "begun", faultyAddress: undefined };
            },
            fetchReport: async () => undefined,
            onWork: () => undefined,
            onFirstOrder: milliseconds => firstOrders.push(milliseconds),
            ...changes,
        });
        controller.start();
        return controller;
    }

    async function storePlan(): Promise<void> {
        const columns = [{ layers: second, kind }, { layers: third, kind }];
        const plan = { service: "model", modelName: relayModel.modelName, layers: relayModel.layers, columns };
        await store.compareAndSwap(planKey, 0, JSON.stringify(plan));
    }

    it("uses a stored plan immediately after it acquires the lease", async () => {
        await storePlan();
        start(2);
        await clock.advance(600);
        assert.deepEqual(orders.map(({ endpoint }) => endpoint), ["z"]);
        assert.equal(orders[0]!.order.fencingNumber, 2);
    });

    it("creates a new plan only after the set of endpoints is stable", async () => {
        const others = Array.from({ length: 8 }, (_, index) => createMiddle(`other-${index}`));
        endpoints = [...others.slice(0, 4).map(endpoint => ({ ...endpoint, kind: "fast" })), ...others.slice(4)];
        start(1);
        await clock.advance(600);
        assert.equal(await store.get(planKey).then(stored => stored.unwrap()), undefined);
        await clock.advance(1_000);
        assert.notEqual(await store.get(planKey).then(stored => stored.unwrap()), undefined);
    });

    // Guards against a holder that reads the store again as soon as it has answered: such calls have a price.
    it("reads the store a few times per second while too few endpoints for a plan are registered", async () => {
        endpoints = [createMiddle("x")];
        let reads = 0;
        const get = async (key: string) => {
            reads += 1;
            await new Promise<void>(resolve => {
                clock.setTimer(5, resolve);
            });
            return store.get(key);
        };
        start(1, { store: { get, compareAndSwap: (...swap) => store.compareAndSwap(...swap) } });
        await clock.advance(5_000);
        assert.ok(reads <= 20, `It has read the store ${reads} times.`);
    });

    it("moves no endpoint between columns before the set of endpoints is stable", async () => {
        await storePlan();
        endpoints = [createMiddle("x", second), createMiddle("w", second)];
        start(2);
        await clock.advance(800);
        assert.deepEqual(orders, []);
        await clock.advance(3_000);
        assert.equal(orders.length, 1);
    });

    it("moves an endpoint without delay to a column that has lost its last replica", async () => {
        await storePlan();
        endpoints = [createMiddle("x", second), createMiddle("w", second), createMiddle("y", third)];
        const controller = start(2);
        await clock.advance(3_000);
        assert.equal(orders.length, 0);
        endpoints = endpoints.slice(0, 2);
        controller.wake();
        await clock.advance(500);
        assert.equal(orders.length, 1);
        assert.deepEqual(orders[0]!.order.layers, third);
    });

    // Guards against moves for endpoints that crash and are back within seconds: their loads left a data centre slower than the loss did.
    it("moves an endpoint for a data centre only once the record of the lost one has ended", async () => {
        await storePlan();
        const elsewhere = { ...createMiddle("e", third), dataCentre: "other" };
        const lost = createMiddle("y", third);
        const present = [createMiddle("x", second), createMiddle("w", second), elsewhere];
        let hasRecord = true;
        endpoints = [...present, lost];
        const controller = start(2, { getLostEndpoints: () => hasRecord && endpoints.length < 4 ? [lost] : [] });
        await clock.advance(3_000);
        endpoints = present;
        controller.wake();
        await clock.advance(4_000);
        assert.equal(orders.length, 0);
        hasRecord = false;
        controller.wake();
        await clock.advance(1_400);
        assert.equal(orders.length, 0);
        await clock.advance(600);
        assert.deepEqual(orders.map(({ order }) => order.layers), [third]);
    });

    // Guards against two moves that were decided apart, one by evidence and one by records, and took both replicas of a column.
    it("moves only one endpoint of a data centre at a time while an endpoint is lost by evidence", async () => {
        const columns = [first, second, third].map(layers => ({ layers, kind }));
        const plan = { service: "model", modelName: relayModel.modelName, layers: relayModel.layers, columns };
        await store.compareAndSwap(planKey, 0, JSON.stringify(plan));
        const elsewhere = { ...createMiddle("e", third), dataCentre: "other" };
        const lost = { ...createMiddle("l", second), dataCentre: "other" };
        const present = [createMiddle("x", first), createMiddle("w", first), elsewhere];
        let isHolder = false;
        endpoints = [...present, lost];
        const controller = start(0, {
            lease: {
                getFencingNumber: () => isHolder ? 2 : undefined,
                getLastNumber: () => 2,
                isLastHolder: () => true,
            },
            getLostEndpoints: () => endpoints.length < 4 ? [lost] : [],
        });
        await clock.advance(5_000);
        endpoints = present;
        controller.wake();
        await clock.advance(400);
        // Both moves are due when the node acquires the lease.
        isHolder = true;
        controller.wake();
        await clock.advance(600);
        assert.deepEqual(orders.map(({ order }) => order.layers), [second]);
    });

    describe("that acquires the lease when it has something to order", () => {
        let fencingNumber: number | undefined;
        let acquisitions: number;
        let sequence: number;

        beforeEach(() => {
            fencingNumber = undefined;
            acquisitions = 0;
            sequence = 0;
        });

        function startCandidate(): PlacementController {
            return start(0, {
                lease: {
                    getFencingNumber: () => fencingNumber,
                    getLastNumber: () => acquisitions,
                    isLastHolder: () => fencingNumber !== undefined,
                },
                sendOrder: async ({ id }, order) => {
                    // An earlier holder may have given the endpoint an order, of which this node doesn't know.
                    if (order.expectedSequence !== sequence) {
                        return { kind: "misfit", faultyAddress: undefined };
                    }
                    orders.push({ endpoint: id, order });
                    return { kind: "begun", faultyAddress: undefined };
                },
                fetchReport: async () => ({ orderSequence: sequence, isBusyWithOrder: false }) as never,
            });
        }

        /** Acquires and releases the lease as the controller asks. */
        async function run(controller: PlacementController, milliseconds: number): Promise<void> {
            for (let waited = 0; waited < milliseconds; waited += 130) {
                await clock.advance(130);
                const action = controller.getLeaseAction(0);
                if (fencingNumber === undefined && action === LeaseAction.Acquire) {
                    acquisitions += 1;
                    fencingNumber = acquisitions;
                }
                else if (action === LeaseAction.Release) {
                    fencingNumber = undefined;
                }
            }
        }

        // The candidate asked for the lease when a move was due, and as the holder gave it up before the move was due again: all nodes
        // acquired and released the lease in turn while no endpoint held some layers.
        it("keeps it until it has moved an endpoint to a column that has lost its last replica", async () => {
            await storePlan();
            endpoints = [createMiddle("x", second), createMiddle("w", second), createMiddle("y", third)];
            sequence = 1;
            const controller = startCandidate();
            await clock.advance(3_000);
            endpoints = endpoints.slice(0, 2);
            await run(controller, 3_000);
            assert.deepEqual(orders.map(({ order }) => order.layers), [third]);
            assert.equal(acquisitions, 1);
        });

        // A data centre lacked a column for the rest of a day although two of its endpoints held another one, while the lease changed
        // hands 18 times without an order.
        it("moves an endpoint to a column that its data centre lacks under one acquisition", async () => {
            await storePlan();
            const other = { kind, dataCentre: "b" };
            const remote = [second, third].map((layers, index) => createEndpoint(`b${index}`, { ...other, layers }));
            endpoints = [...remote, createMiddle("x", second), createMiddle("y", third), createMiddle("w", second)];
            const controller = startCandidate();
            await run(controller, 12_000);
            const before = acquisitions;
            endpoints = endpoints.filter(({ id }) => id !== "y");
            await run(controller, 5_000);
            assert.deepEqual(orders.map(({ order }) => order.layers), [third]);
            assert.equal(acquisitions - before, 1);
        });

        // The lease changed hands each 1.5 s for moves that no holder made.
        it("makes a move for balance only along with other orders, and never acquires it for balance alone", async () => {
            await storePlan();
            endpoints = [createMiddle("x", second), createMiddle("w", second), createMiddle("v", second)];
            endpoints.push(createMiddle("y", third));
            const controller = startCandidate();
            await run(controller, 30_000);
            assert.equal(orders.length, 0);
            assert.equal(acquisitions, 1);
            endpoints = [...endpoints, createEndpoint("z", { kind: "slow" })];
            await run(controller, 2_500);
            assert.equal(acquisitions, 2);
            assert.deepEqual(orders.map(({ order }) => order.layers.start).sort(), [third.start, third.start]);
            assert.equal(orders.filter(({ endpoint }) => endpoint === "z").length, 1);
        });

        it("keeps it for 6 s after the last order", async () => {
            await storePlan();
            const controller = startCandidate();
            await run(controller, 1_000);
            assert.deepEqual(orders.map(({ endpoint }) => endpoint), ["z"]);
            endpoints = endpoints.with(2, createMiddle("z", orders[0]!.order.layers));
            await run(controller, 5_500);
            assert.notEqual(fencingNumber, undefined);
            assert.equal(controller.getLeaseAction(0), LeaseAction.Keep);
            await run(controller, 1_500);
            assert.equal(fencingNumber, undefined);
        });
    });

    // A node that the store refused ordered with its last number while another one held the lease, and both ordered the same endpoints.
    it("stops ordering when its lease has expired, unless no node can reach the store", async () => {
        await storePlan();
        endpoints = endpoints.slice(0, 2);
        let isExpired = false;
        let isStoreLost = false;
        start(1, {
            lease: {
                getFencingNumber: () => isExpired ? undefined : 1,
                getLastNumber: () => 1,
                isLastHolder: () => true,
            },
            isStoreLost: () => isStoreLost,
        });
        await clock.advance(3_000);
        isExpired = true;
        endpoints = [...endpoints, createMiddle("z")];
        await clock.advance(3_000);
        assert.equal(orders.length, 0);
        isStoreLost = true;
        await clock.advance(600);
        assert.deepEqual(orders.map(({ endpoint }) => endpoint), ["z"]);
    });

    // Work was found by a check each 250 ms, and the plan was read only then.
    it("orders at once when an empty endpoint registers, without reading the store", async () => {
        await storePlan();
        endpoints = endpoints.slice(0, 2);
        const controller = start(1);
        await clock.advance(3_000);
        const before = store.getCallCount();
        endpoints = [...endpoints, createMiddle("z")];
        controller.wake();
        await clock.advance(10);
        assert.deepEqual(orders.map(({ endpoint }) => endpoint), ["z"]);
        assert.equal(store.getCallCount(), before);
        assert.deepEqual(firstOrders, [0]);
    });

    // A successor ordered what its predecessor had ordered already, and its orders were refused for their sequence numbers.
    it("reads as a successor what endpoints without planned layers were ordered before", async () => {
        await storePlan();
        endpoints = [...endpoints, createMiddle("v")];
        const asked: string[] = [];
        start(4, {
            fetchReport: async ({ id }) => {
                asked.push(id);
                return { orderSequence: 2, isBusyWithOrder: id === "v", layers: undefined } as never;
            },
        });
        await clock.advance(2_000);
        assert.deepEqual(asked, ["z", "v"]);
        assert.deepEqual(orders.map(({ endpoint, order }) => [endpoint, order.expectedSequence]), [["z", 2]]);
    });

    it("reads no reports at the start, when no endpoint holds layers", async () => {
        await storePlan();
        endpoints = ["v", "w", "x"].map(id => createMiddle(id));
        let reports = 0;
        start(1, {
            fetchReport: async () => {
                reports += 1;
                return undefined;
            },
        });
        await clock.advance(600);
        assert.equal(orders.length, 3);
        assert.equal(reports, 0);
    });

    it("orders after 300 ms as a successor though reports are not answered", async () => {
        await storePlan();
        start(4, { fetchReport: () => new Promise(() => undefined) });
        await clock.advance(310);
        assert.deepEqual(orders.map(({ endpoint }) => endpoint), ["z"]);
    });

    // Another plan would have moved the layers of all endpoints.
    it("stores the plan in use again if the store was restored from an older snapshot without it", async () => {
        const copy = store.takeSnapshot();
        await storePlan();
        const plan = store.peek(planKey)!.value;
        const controller = start(2);
        await clock.advance(600);
        store.restore(copy);
        controller.handleStoreRestored();
        await clock.advance(3_000);
        assert.equal(store.peek(planKey)?.value, plan);
    });

    it("leaves a plan that the older snapshot has as it is", async () => {
        await storePlan();
        const copy = store.takeSnapshot();
        const controller = start(2);
        await clock.advance(600);
        store.restore(copy);
        controller.handleStoreRestored();
        await clock.advance(3_000);
        assert.deepEqual(store.peek(planKey), copy.get(planKey));
    });
});
