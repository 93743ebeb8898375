import { FencedLease } from "../../../src/process/leases/fencedLease.ts";
import { LeaseAction } from "../../../src/process/placement/leaseAction.ts";
import { PlacementController } from "../../../src/process/placement/placementController.ts";
import type { HeldLayers } from "../../../src/request/relay/endpoints/heldLayers.ts";
import type { LayerOrder } from "../../../src/request/relay/endpoints/layerOrder.ts";
import type { OrderOutcome } from "../../../src/request/relay/endpoints/orderOutcome.ts";
import type { RegisteredEndpoint } from "../../../src/request/relay/endpoints/registeredEndpoint.ts";
import { createEndpoint, relayModel } from "../../request/relay/relayModel.ts";
import { FakeClock } from "../../support/fakeClock.ts";
import { MemoryStore } from "../../support/memoryStore.ts";
import { RecordingEventLog } from "../../support/recordingEventLog.ts";

/** An endpoint that carries out orders as the platform's do. */
interface SimulatedEndpoint {
    registered: RegisteredEndpoint;
    isUp: boolean;
    isLoading: boolean;
    sequence: number;
    fencingNumber: number;
}

/** A node that may hold the lease. */
interface SimulatedNode {
    lease: FencedLease;
    controller: PlacementController;
    isUp: boolean;
    /** Whether the node leaves the lease to another one although there is something to order. */
    isAwaiting: boolean;
}

/** Time after which all nodes have evidence of a loss. */
const evidenceMilliseconds = 200;
const reviewMilliseconds = 250;

/** Nodes that place layers on simulated endpoints, over one store and without a network. */
export class PlacementFleet {
    readonly clock = FakeClock.create();
    readonly store = MemoryStore.create();
    readonly orders: { endpointId: string; order: LayerOrder; at: number; }[] = [];
    readonly nodes: SimulatedNode[] = [];
    private readonly endpoints = new Map<string, SimulatedEndpoint>();
    private readonly known = new Map<string, RegisteredEndpoint>();
    private readonly random: () => number;

    private constructor(random: () => number) {
        this.random = random;
    }

    /** Creates a fleet whose plan is stored, without nodes and endpoints. */
    static async create(ranges: readonly HeldLayers[], random: () => number): Promise<PlacementFleet> {
        const fleet = new PlacementFleet(random);
        const columns = ranges.map(layers => ({ layers, kind: "fast" }));
        const plan = { service: "model", modelName: relayModel.modelName, layers: relayModel.layers, columns };
        await fleet.store.compareAndSwap("placement/model", 0, JSON.stringify(plan));
        return fleet;
    }

    /** Starts a node, whose rank as the planner is its index. */
    addNode(): void {
        const { clock, store, random, nodes } = this;
        const rank = nodes.length;
        const log = RecordingEventLog.create();
        const lease = FencedLease.create({
            store: {
                get: key => this.answer(node, () => store.get(key)),
                compareAndSwap: (key, revision, value) =>
                    this.answer(node, () => store.compareAndSwap(key, revision, value)),
            },
            clock,
            random,
            log,
            key: "lease",
            holder: `node-${rank}`,
            timeToLiveMilliseconds: 3_000,
            longestOrderMilliseconds: 300,
            onAcquired: () => controller.wake(),
        });
        const controller = PlacementController.create({
            store,
            lease,
            isStoreLost: () => false,
            isCandidate: () => true,
            clock,
            runLong: (_name, action) => action(),
            log,
            keyPrefix: "placement/",
            getModelServices: () => [{ name: "model", engine: relayModel }] as never,
            getEndpoints: () => [...this.known.values()],
            getLostEndpoints: () => [],
            sendOrder: async ({ id }, order) => node.isUp ? this.handleOrder(id, order) : undefined,
            fetchReport: async ({ id }) => this.createReport(id) as never,
            onWork: () => this.review(node, rank),
            onFirstOrder: () => undefined,
        });
        const node = { lease, controller, isUp: true, isAwaiting: false };
        nodes.push(node);
        controller.start();
        this.repeatReview(node, rank);
    }

    /** Stops a node without releasing its lease. */
    kill(node: SimulatedNode): void {
        node.isUp = false;
        node.controller.stop();
    }

    /** Registers an endpoint. */
    register(id: string, layers?: HeldLayers, kind = "fast"): void {
        const registered = createEndpoint(id, { layers, kind });
        this.endpoints.set(id, { registered, isUp: true, isLoading: false, sequence: 0, fencingNumber: 0 });
        this.setKnown(id, registered);
    }

    /** Ends an endpoint, of which the nodes have evidence soon afterwards. */
    crash(id: string): void {
        this.endpoints.get(id)!.isUp = false;
        this.clock.setTimer(evidenceMilliseconds, () => this.setKnown(id, undefined));
    }

    /** Lists the ids of the endpoints that run. */
    listRunning(): string[] {
        return [...this.endpoints].filter(([, { isUp }]) => isUp).map(([id]) => id);
    }

    /** Counts the running endpoints that hold a range. */
    countReplicas({ start, end }: HeldLayers): number {
        const running = [...this.endpoints.values()].filter(({ isUp, isLoading }) => isUp && !isLoading);
        return running.filter(({ registered: { layers } }) => layers?.start === start && layers.end === end).length;
    }

    /** Makes a call to the store, which is never made by a node that was killed. */
    private answer<Result>(node: SimulatedNode, call: () => Promise<Result>): Promise<Result> {
        return node.isUp ? call() : new Promise(() => undefined);
    }

    private handleOrder(id: string, order: LayerOrder): OrderOutcome | undefined {
        const endpoint = this.endpoints.get(id)!;
        if (!endpoint.isUp) {
            return undefined;
        }
        if (order.fencingNumber < endpoint.fencingNumber) {
            return { kind: "fenced", faultyAddress: undefined };
        }
        endpoint.fencingNumber = order.fencingNumber;
        if (endpoint.isLoading || order.expectedSequence !== endpoint.sequence) {
            return { kind: "misfit", faultyAddress: undefined };
        }
        this.orders.push({ endpointId: id, order, at: this.clock.getMonotonicTime() });
        endpoint.sequence += 1;
        endpoint.isLoading = true;
        endpoint.registered = { ...endpoint.registered, layers: undefined };
        this.setKnown(id, endpoint.registered);
        const fraction = (order.layers.end - order.layers.start) / relayModel.layers;
        this.clock.setTimer(fraction * relayModel.loadSeconds * 1_000, () => {
            if (endpoint.isUp) {
                endpoint.isLoading = false;
                endpoint.registered = { ...endpoint.registered, layers: order.layers };
                this.setKnown(id, endpoint.registered);
            }
        });
        return { kind: "begun", faultyAddress: undefined };
    }

    private createReport(id: string) {
        const { isUp, isLoading, sequence, registered } = this.endpoints.get(id)!;
        const report = { orderSequence: sequence, isBusyWithOrder: isLoading, layers: registered.layers };
        return isUp ? report : undefined;
    }

    private setKnown(id: string, endpoint: RegisteredEndpoint | undefined): void {
        if (endpoint === undefined) {
            this.known.delete(id);
        }
        else {
            this.known.set(id, endpoint);
        }
        for (const { controller } of this.nodes) {
            controller.wake();
        }
    }

    private repeatReview(node: SimulatedNode, rank: number): void {
        this.clock.setTimer(reviewMilliseconds, () => {
            if (node.isUp) {
                this.review(node, rank);
                this.repeatReview(node, rank);
            }
        });
    }

    private review(node: SimulatedNode, rank: number): void {
        const { lease, controller } = node;
        const action = controller.getLeaseAction(rank);
        switch (action) {
            case LeaseAction.Acquire:
                lease.start();
                break;
            case LeaseAction.Keep:
                lease.keep();
                break;
            case LeaseAction.Await:
                lease.pause();
                if (!node.isAwaiting) {
                    lease.refresh();
                }
                break;
            case LeaseAction.Release:
                lease.rest();
        }
        node.isAwaiting = action === LeaseAction.Await;
        for (const { lease: other } of this.nodes) {
            const release = lease.getNewestRelease();
            if (other !== lease && release !== undefined) {
                other.noteRelease(release);
            }
        }
    }
}
