import type { TimerHandle } from "../clock.ts";
import { LayerOrderTracker } from "./layerOrderTracker.ts";
import { LayerPlacer } from "./layerPlacer.ts";
import type { LeaseAction } from "./leaseAction.ts";
import type { PlacementControllerOptions } from "./placementControllerOptions.ts";
import { PlacementPlans } from "./placementPlans.ts";
import { PlacementWorkState } from "./placementWorkState.ts";
import { TakeoverReader } from "./takeoverReader.ts";

/** Longest time between two checks. Events that may change what is to be ordered cause a check at once. */
const maximumCheckMilliseconds = 2_000;
/** The same while something is to be ordered, the endpoints are not stable yet or a plan is missing. */
const activeCheckMilliseconds = 300;

/**
 * Assigns layers to endpoints on the node that holds the lease. Makes one plan per service, keeps it in the store, and
 * orders endpoints to hold the planned columns as endpoints register or are lost. Each order carries the lease's
 * fencing number and the number of orders that the endpoint has begun, so that an order that arrives late has no
 * effect.
 */
export class PlacementController {
    private readonly options: PlacementControllerOptions;
    private readonly plans: PlacementPlans;
    private readonly work: PlacementWorkState;
    private readonly orders: LayerOrderTracker;
    private readonly placer: LayerPlacer;
    private readonly takeoverReader: TakeoverReader;
    private timer: TimerHandle | undefined;
    private isStarted = false;
    /** Whether this node reads what its predecessor as the holder ordered. */
    private isTakingOver = false;
    /** Fencing number under which plans were last loaded. */
    private loadedFencingNumber = 0;

    private constructor(options: PlacementControllerOptions) {
        this.options = options;
        this.plans = PlacementPlans.create({ ...options, onAttempted: () => this.wake() });
        this.work = PlacementWorkState.create(options);
        this.orders = LayerOrderTracker.create({
            ...options,
            mayOrder: number => this.getFencingNumber() === number,
            onResult: () => this.wake(),
        });
        const { plans, work, orders } = this;
        const unstableCheckMilliseconds = activeCheckMilliseconds;
        this.placer = LayerPlacer.create({ ...options, plans, work, orders, unstableCheckMilliseconds });
        this.takeoverReader = TakeoverReader.create({ ...options, plans, orders });
    }

    /** Creates an instance that does nothing before {@link start}. */
    static create(options: PlacementControllerOptions): PlacementController {
        return new PlacementController(options);
    }

    /** Starts to check the endpoints while this node holds the lease or is a candidate for it. */
    start(): void {
        this.isStarted = true;
        this.wake();
    }

    /** Stops checking the endpoints and sending orders. */
    stop(): void {
        this.isStarted = false;
        this.timer?.cancel();
        this.timer = undefined;
    }

    /** Checks the endpoints after the events of this turn: the endpoints, the plan, the lease or the result of an order have changed. */
    wake(): void {
        this.setTimer(0);
    }

    /**
     * Handles that the store was restored from an older snapshot. The last holder of the lease writes the plans that the copy lacks, so
     * that a later holder does not make another one and move layers.
     */
    handleStoreRestored(): void {
        this.loadedFencingNumber = 0;
        if (this.options.lease.getLastNumber() === undefined) {
            return;
        }
        this.plans.writeAgain();
    }

    /**
     * Decides whether this node acquires, keeps or releases the lease, as of the last check.
     * @param rank - Number of nodes that should acquire the lease before this one.
     */
    getLeaseAction(rank: number): LeaseAction {
        return this.work.getLeaseAction(this.options.lease.isLastHolder(), rank);
    }

    private setTimer(milliseconds: number): void {
        this.timer?.cancel();
        this.timer = this.isStarted ? this.options.clock.setTimer(milliseconds, () => this.check()) : undefined;
    }

    private check(): void {
        this.setTimer(maximumCheckMilliseconds);
        if (this.plans.isBusy() || this.isTakingOver) {
            return;
        }
        const { lease, isCandidate } = this.options;
        const fencingNumber = this.getFencingNumber();
        const canOrder = fencingNumber !== undefined && fencingNumber > this.orders.getRefusedFencingNumber();
        if (lease.getLastNumber() === undefined) {
            this.orders.clear();
        }
        if (!canOrder && !isCandidate()) {
            this.work.update(false);
            return;
        }
        if (canOrder && this.noteFencingNumber(fencingNumber)) {
            this.orders.clear();
            void this.takeOver();
            return;
        }
        this.placeAll(canOrder ? fencingNumber : undefined);
    }

    /** Notes the number of the orders. Returns whether another node may have ordered before; this one knows its own plans and orders. */
    private noteFencingNumber(fencingNumber: number): boolean {
        const loaded = this.loadedFencingNumber;
        this.loadedFencingNumber = fencingNumber;
        return fencingNumber !== loaded && (loaded === 0 || fencingNumber !== loaded + 1);
    }

    /** Checks the services one after another, and schedules the next check. */
    private placeAll(fencingNumber: number | undefined): void {
        const { lease, getModelServices, clock } = this.options;
        const mayHavePending = fencingNumber !== undefined || lease.isLastHolder();
        let hasWork = false;
        let nextCheckAt = Infinity;
        for (const service of getModelServices()) {
            if (service.engine === undefined) {
                continue;
            }
            const work = this.placer.place(service.name, service.engine, fencingNumber);
            hasWork ||= work.isDue || mayHavePending && work.isPending;
            nextCheckAt = Math.min(nextCheckAt, work.nextCheckAt);
        }
        this.work.update(hasWork);
        const now = clock.getMonotonicTime();
        const ordersDueAt = this.orders.getNextDueAt(now) ?? Infinity;
        const wait = Math.min(nextCheckAt, ordersDueAt) - now;
        this.setTimer(Math.min(hasWork ? activeCheckMilliseconds : maximumCheckMilliseconds, Math.max(1, wait)));
    }

    /** Reads what the last holder planned and ordered. Meanwhile nothing is checked. */
    private async takeOver(): Promise<void> {
        this.isTakingOver = true;
        await this.takeoverReader.read();
        this.isTakingOver = false;
        this.wake();
    }

    /**
     * Gets the fencing number for orders. A holder whose lease has expired continues only while no node can reach the store: lost layers
     * must still be placed, and no other node can acquire the lease. If another node can, two holders would order the same endpoints.
     */
    private getFencingNumber(): number | undefined {
        const { lease, isStoreLost } = this.options;
        return lease.getFencingNumber() ?? (isStoreLost() ? lease.getLastNumber() : undefined);
    }
}
