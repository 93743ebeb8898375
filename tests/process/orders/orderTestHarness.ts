import type { EndpointState } from "../../../src/connection/endpoint/endpointState.ts";
import type { EngineOrder } from "../../../src/connection/endpoint/engineProtocol.ts";
import type { Clock } from "../../../src/process/clock.ts";
import { LoadRecord } from "../../../src/process/orders/loadRecord.ts";
import { OrderDispatcher } from "../../../src/process/orders/orderDispatcher.ts";
import { OrderPolicy } from "../../../src/process/orders/orderPolicy.ts";
import { Err, Ok } from "../../../src/result.ts";
import type { LayerRange } from "../../../src/version/configuration.ts";
import { HeldLayers } from "../../../standins/engine/heldLayers.ts";
import { WeightOrders } from "../../../standins/engine/weightOrders.ts";
import { createSeededRandom } from "../../support/createSeededRandom.ts";
import { FakeClock } from "../../support/fakeClock.ts";
import { MemoryStore } from "../../support/memoryStore.ts";
import { PausableClock } from "../../support/pausableClock.ts";
import { RecordingEventLog } from "../../support/recordingEventLog.ts";
import { createTestConfiguration } from "./createTestConfiguration.ts";

interface TestEngine {
    held: HeldLayers;
    orders: WeightOrders;
    state: EndpointState["state"];
}

interface SentOrder {
    nodeId: string;
    endpoint: string;
    order: EngineOrder;
    /** Undefined while the order is in flight, and if it was lost. */
    status?: number;
}

interface OrderTestHarnessOptions {
    layers: Record<string, LayerRange[]>;
    checksFencing?: boolean;
    policy?: Partial<OrderPolicy>;
}

const weightLoadMilliseconds = 5_000;

/** Runs dispatchers against engines that carry out orders, with a fake clock. */
export class OrderTestHarness {
    readonly clock = FakeClock.create();
    readonly store = MemoryStore.create();
    readonly log = RecordingEventLog.create();
    readonly engines = new Map<string, TestEngine>();
    readonly sent: SentOrder[] = [];
    /** The node that owns the duty. */
    owner = "a";
    /** Runs before an engine returns its status to a node. */
    beforeStatus: (nodeId: string) => Promise<void> | void = () => undefined;
    /** Runs after a node has written the load record and before it gets the answer. */
    afterWrite: () => Promise<void> | void = () => undefined;
    /** Runs while an order of a node is in flight. */
    beforeDelivery: (nodeId: string) => Promise<void> | void = () => undefined;
    /** Engines with little free memory. */
    readonly full = new Set<string>();
    /** Whether orders are lost before they reach the engine. */
    losesOrders = false;
    private readonly options: OrderTestHarnessOptions;
    private readonly random = createSeededRandom(7);

    private constructor(options: OrderTestHarnessOptions) {
        this.options = options;
        const swap = this.store.compareAndSwap.bind(this.store);
        this.store.compareAndSwap = async (...call) => {
            const outcome = await swap(...call);
            await (call[0] === LoadRecord.key ? this.afterWrite() : undefined);
            return outcome;
        };
        for (const [name, layers] of Object.entries(options.layers)) {
            const held = HeldLayers.create(layers);
            this.engines.set(name, { held, orders: this.createWeightOrders(held), state: "serving" });
        }
    }

    static create(options: OrderTestHarnessOptions): OrderTestHarness {
        return new OrderTestHarness(options);
    }

    createNode(nodeId: string, clock: Clock = PausableClock.create(this.clock)): OrderDispatcher {
        const configuration = createTestConfiguration(this.options.layers);
        return OrderDispatcher.create({
            nodeId,
            store: this.store,
            clock,
            random: this.random,
            log: this.log,
            policy: { ...OrderPolicy, ...this.options.policy },
            getConfiguration: () => configuration,
            getEndpointStates: () =>
                [...this.engines].map(([endpoint, { held, state }]) => ({ endpoint, layers: held.getRanges(), state })),
            sendOrder: (endpoint, order) => this.deliver(nodeId, endpoint, order),
            getStatus: endpoint => this.getStatus(nodeId, endpoint),
            isDutyOwner: () => this.owner === nodeId,
        });
    }

    setState(endpoint: string, state: EndpointState["state"]): void {
        this.getEngine(endpoint).state = state;
    }

    /** Restarts an engine. Orders that it has not completed are lost. */
    restart(endpoint: string): void {
        const engine = this.getEngine(endpoint);
        engine.orders.close();
        engine.orders = this.createWeightOrders(engine.held);
    }

    /** Gets if any serving engine holds a range. */
    isServed(range: LayerRange): boolean {
        return [...this.engines.values()].some(({ held, state }) => state === "serving" && held.hasRange(range));
    }

    private createWeightOrders(heldLayers: HeldLayers): WeightOrders {
        const { clock, options: { checksFencing = true } } = this;
        const modelLayers = { large: 12, small: 4 };
        return WeightOrders.create({ clock, heldLayers, modelLayers, checksFencing, weightLoadMilliseconds });
    }

    private getEngine(endpoint: string): TestEngine {
        return this.engines.get(endpoint) as TestEngine;
    }

    private async deliver(nodeId: string, endpoint: string, order: EngineOrder) {
        const sent: SentOrder = { nodeId, endpoint, order };
        this.sent.push(sent);
        await this.beforeDelivery(nodeId);
        if (this.losesOrders) {
            return Err({ message: "The order was lost." });
        }
        const result = this.getEngine(endpoint).orders.execute(order);
        sent.status = result.ok ? 200 : result.val.status;
        return Ok(sent.status);
    }

    private async getStatus(nodeId: string, endpoint: string) {
        await this.beforeStatus(nodeId);
        const { held, orders, state } = this.getEngine(endpoint);
        if (state === "unreachable") {
            return Err({ message: "The engine does not answer." });
        }
        const freePositions = this.full.has(endpoint) ? 100 : 50_000;
        const load = { queue: 0, sequences: 0, freePositions, loadAgeMilliseconds: 0, cacheSequence: 0 };
        const leaving = state === "leaving";
        return Ok({ endpoint, leaving, layers: held.getRanges(), fencingNumber: orders.getFencingNumber(), ...load });
    }
}
