import type { EndpointReport } from "../../request/relay/endpoints/endpointReport.ts";
import type { HeldLayers } from "../../request/relay/endpoints/heldLayers.ts";
import type { LayerOrder } from "../../request/relay/endpoints/layerOrder.ts";
import type { OrderOutcome } from "../../request/relay/endpoints/orderOutcome.ts";
import type { RegisteredEndpoint } from "../../request/relay/endpoints/registeredEndpoint.ts";
import type { EngineModel } from "../../version/routing/engineModel.ts";
import type { RoutedService } from "../../version/routing/routedService.ts";
import type { Clock, TimerHandle } from "../clock.ts";
import type { FencedLease } from "../leases/fencedLease.ts";
import type { EventLog } from "../logging/eventLog.ts";
import { events } from "../logging/events.ts";
import type { PlatformStore } from "../platform/platformStore.ts";
import { assignLayers } from "./assignLayers.ts";
import { chooseLoads } from "./chooseLoads.ts";
import { EndpointStabilityTracker } from "./endpointStabilityTracker.ts";
import type { LayerColumn } from "./layerColumn.ts";
import type { LayerMove } from "./layerMove.ts";
import { LayerOrderTracker } from "./layerOrderTracker.ts";
import type { LeaseAction } from "./leaseAction.ts";
import { MovePurpose } from "./movePurpose.ts";
import { MoveSchedule } from "./moveSchedule.ts";
import type { PlacementEndpoint } from "./placementEndpoint.ts";
import { PlacementPlans } from "./placementPlans.ts";
import { PlacementWorkState } from "./placementWorkState.ts";

/** Options of a {@link PlacementController}. */
interface PlacementControllerOptions {
    store: Pick<PlatformStore, "get" | "compareAndSwap">;
    lease: Pick<FencedLease, "getFencingNumber" | "getLastNumber" | "isLastHolder">;
    /** Checks if neither this node nor any other that could acquire the lease can reach the store. */
    isStoreLost(): boolean;
    /** Checks if this node would try to acquire the lease when orders are due. */
    isCandidate(): boolean;
    clock: Clock;
    /** Runs a synchronous task that may take long; see `EventLoopMonitor.run`. */
    runLong<Result>(name: string, action: () => Result): Result;
    log: EventLog;
    /** Prefix of the keys of plans in the store, followed by the name of the service. */
    keyPrefix: string;
    /** Gets the services that have model engines. */
    getModelServices(): RoutedService[];
    /** Gets the endpoints of a service that are not draining. */
    getEndpoints(service: string): readonly RegisteredEndpoint[];
    /** Gets the endpoints of a service that are lost by the evidence of nodes, although their records exist. */
    getLostEndpoints(service: string): readonly RegisteredEndpoint[];
    sendOrder(endpoint: RegisteredEndpoint, order: LayerOrder): Promise<OrderOutcome | undefined>;
    fetchReport(endpoint: RegisteredEndpoint): Promise<EndpointReport | undefined>;
    /** Called when there is something to order, so that the lease is acquired at once. */
    onWork(): void;
    /** Called at the first order after there was nothing to order, with the time since then in milliseconds. */
    onFirstOrder(milliseconds: number): void;
}

/** Longest time between two checks. Events that may change what is to be ordered cause a check at once. */
const maximumCheckMilliseconds = 2_000;
/** The same while something is to be ordered, the endpoints are not stable yet or a plan is missing. */
const activeCheckMilliseconds = 300;
/** Time within which a new holder reads what its predecessor ordered, before it orders. */
const takeoverReadMilliseconds = 300;
const millisecondsPerSecond = 1_000;
/** What is to be done for a service. */
interface PlacementWork {
    /** Whether a plan is missing or orders are due, for which a candidate acquires the lease. */
    isDue: boolean;
    /** Whether orders are pending or will be due soon, for which a holder keeps the lease. */
    isPending: boolean;
    /** Monotonic time in milliseconds of the next check; Infinity if none is needed before an event. */
    nextCheckAt: number;
}

/**
 * Assigns layers to endpoints on the node that holds the lease. Makes one plan per service, keeps it in the store, and
 * orders endpoints to hold the planned columns as endpoints register or are lost. Each order carries the lease's
 * fencing number and the number of orders that the endpoint has begun, so that an order that arrives late has no
 * effect.
 */
export class PlacementController {
    private readonly options: PlacementControllerOptions;
    private readonly plans: PlacementPlans;
    private readonly stabilityTracker = EndpointStabilityTracker.create();
    private readonly orders: LayerOrderTracker;
    private readonly moveSchedule = MoveSchedule.create();
    private timer: TimerHandle | undefined;
    private isStarted = false;
    /** Whether this node reads what its predecessor as the holder ordered. */
    private isTakingOver = false;
    /** Fencing number under which plans were last loaded. */
    private loadedFencingNumber = 0;
    private readonly work: PlacementWorkState;
    /** Why orders are withheld, by service, as logged. */
    private readonly withheldReasons = new Map<string, string>();

    private constructor(options: PlacementControllerOptions) {
        this.options = options;
        this.plans = PlacementPlans.create({ ...options, onAttempted: () => this.wake() });
        this.work = PlacementWorkState.create(options);
        this.orders = LayerOrderTracker.create({
            ...options,
            mayOrder: number => this.getFencingNumber() === number,
            onResult: () => this.wake(),
        });
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

    private setTimer(milliseconds: number): void {
        this.timer?.cancel();
        this.timer = this.isStarted ? this.options.clock.setTimer(milliseconds, () => this.check()) : undefined;
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

    private check(): void {
        this.setTimer(maximumCheckMilliseconds);
        if (this.plans.isBusy() || this.isTakingOver) {
            return;
        }
        const { lease, isCandidate, getModelServices, clock } = this.options;
        const fencingNumber = this.getFencingNumber();
        const canOrder = fencingNumber !== undefined && fencingNumber > this.orders.getRefusedFencingNumber();
        if (lease.getLastNumber() === undefined) {
            this.orders.clear();
        }
        if (!canOrder && !isCandidate()) {
            this.work.update(false);
            return;
        }
        if (canOrder && fencingNumber !== this.loadedFencingNumber) {
            const isOwnSuccessor = this.loadedFencingNumber > 0 && fencingNumber === this.loadedFencingNumber + 1;
            this.loadedFencingNumber = fencingNumber;
            if (!isOwnSuccessor) {
                this.orders.clear();
                void this.takeOver();
                return;
            }
        }
        const mayHavePending = canOrder || lease.isLastHolder();
        let hasWork = false;
        let nextCheckAt = Infinity;
        for (const service of getModelServices()) {
            if (service.engine === undefined) {
                continue;
            }
            const work = this.placeLayers(service.name, service.engine, canOrder ? fencingNumber : undefined);
            hasWork ||= work.isDue || mayHavePending && work.isPending;
            nextCheckAt = Math.min(nextCheckAt, work.nextCheckAt);
        }
        this.work.update(hasWork);
        const now = clock.getMonotonicTime();
        const ordersDueAt = this.orders.getNextDueAt(now) ?? Infinity;
        const wait = Math.min(nextCheckAt, ordersDueAt) - now;
        this.setTimer(Math.min(hasWork ? activeCheckMilliseconds : maximumCheckMilliseconds, Math.max(1, wait)));
    }

    /**
     * Reads the plans and the reports of endpoints that don't hold what is planned, which the last holder may have ordered to load. An
     * order without their sequence numbers would be refused.
     */
    private async takeOver(): Promise<void> {
        const { clock, getModelServices } = this.options;
        const services = getModelServices();
        this.isTakingOver = true;
        const readings = services.map(async ({ name, engine }) => {
            if (engine !== undefined) {
                const columns = this.plans.get(name) ?? [{ layers: { start: 0, end: engine.layers } }];
                const longest = Math.max(...columns.map(({ layers }) => layers.end - layers.start));
                const loadSeconds = longest / engine.layers * engine.loadSeconds;
                await this.orders.readStates(this.listUnplanned(name), loadSeconds * millisecondsPerSecond);
            }
        });
        const timeout = new Promise<void>(resolve => {
            clock.setTimer(takeoverReadMilliseconds, resolve);
        });
        await Promise.race([Promise.all([this.plans.refresh(services), ...readings]), timeout]);
        this.isTakingOver = false;
        this.wake();
    }

    /**
     * Lists the endpoints of a service that hold neither a column nor a part of one. None if no endpoint holds layers, as at the start:
     * there were no orders before, and all reports would be read.
     */
    private listUnplanned(service: string): RegisteredEndpoint[] {
        const endpoints = this.options.getEndpoints(service);
        if (endpoints.every(({ layers }) => layers === undefined)) {
            return [];
        }
        const columns = this.plans.get(service);
        const isPlanned = (held: HeldLayers) =>
            columns === undefined
            || columns.some(({ layers }) => layers.start <= held.start && held.end <= layers.end);
        return endpoints.filter(({ layers }) => layers === undefined || !isPlanned(layers));
    }

    /**
     * Gets the fencing number for orders. A holder whose lease has expired continues only while no node can reach the store: lost layers
     * must still be placed, and no other node can acquire the lease. If another node can, two holders would order the same endpoints.
     */
    private getFencingNumber(): number | undefined {
        const { lease, isStoreLost } = this.options;
        return lease.getFencingNumber() ?? (isStoreLost() ? lease.getLastNumber() : undefined);
    }

    /**
     * Checks the endpoints of a service and sends the orders that are due.
     * @param fencingNumber - Fencing number of the orders; undefined if this node must not send any.
     */
    private placeLayers(service: string, model: EngineModel, fencingNumber: number | undefined): PlacementWork {
        const endpoints = this.options.getEndpoints(service);
        if (endpoints.length === 0) {
            return { isDue: false, isPending: false, nextCheckAt: Infinity };
        }
        const now = this.options.clock.getMonotonicTime();
        const isStable = this.stabilityTracker.update(service, endpoints, now);
        const stableCheckAt = isStable ? Infinity : now + activeCheckMilliseconds;
        const columns = this.plans.get(service);
        if (columns === undefined) {
            void this.plans.ensure(service, model, endpoints, { isStable, canOrder: fencingNumber !== undefined });
            return { isDue: true, isPending: false, nextCheckAt: stableCheckAt };
        }
        this.orders.removeCompleted(service, endpoints);
        const states = this.createPlacementEndpoints(endpoints, now);
        const { assignments, moves } = this.options.runLong(
            "assignLayers",
            () => this.decide(service, model, columns, states),
        );
        const { due, balancing, isLeaseNeeded, nextDueAt = Infinity } = this.scheduleMoves(
            service,
            moves,
            endpoints,
            isStable,
        );
        const wanted = [...assignments, ...due];
        const isPending = isLeaseNeeded || this.orders.hasPending();
        if (wanted.length > 0 || isPending) {
            // The lease is neither acquired nor kept for balance alone: the calls to the store have a price, and the service is complete.
            wanted.push(...balancing);
        }
        if (fencingNumber !== undefined) {
            const { loadsAtOnce } = model;
            const activeLoads = this.orders.countActiveLoads(service, now);
            const query = { columns, endpoints: states, assignments: wanted, activeLoads, loadsAtOnce };
            const chosen = chooseLoads(query);
            for (const assignment of chosen) {
                const endpoint = endpoints.find(({ id }) => id === assignment.endpointId);
                if (endpoint !== undefined) {
                    this.work.recordOrder();
                    void this.orders.send(model, endpoint, assignment.layers, fencingNumber);
                }
            }
            this.orders.checkOverdue();
            this.logWithheld(service, wanted.length - chosen.length, "other loads are running");
        }
        else if (this.options.lease.isLastHolder()) {
            this.logWithheld(service, wanted.length, "the lease has expired and another node may acquire it");
        }
        return {
            isDue: wanted.length > 0,
            isPending: isPending || this.orders.hasPending(),
            nextCheckAt: Math.min(stableCheckAt, nextDueAt),
        };
    }

    /**
     * Decides on assignments and moves. Nodes have evidence of a loss seconds before the endpoint's record ends, and within these seconds
     * many endpoints are back. The evidence suffices for assignments to free endpoints and for moves to columns that the fleet lacks. Any
     * other move takes an endpoint out of service for its load, so it counts an endpoint as lost only once its record has ended.
     */
    private decide(
        service: string,
        model: EngineModel,
        columns: readonly LayerColumn[],
        states: readonly PlacementEndpoint[],
    ): ReturnType<typeof assignLayers> {
        const decision = assignLayers(model, columns, states);
        const lost = this.options.getLostEndpoints(service);
        if (lost.length === 0) {
            return decision;
        }
        const now = this.options.clock.getMonotonicTime();
        const lostStates = this.createPlacementEndpoints(lost, now).map(state => ({ ...state, isBusy: true }));
        const { moves } = assignLayers(model, columns, [...states, ...lostStates]);
        const isForFleet = ({ purpose }: LayerMove) => purpose === MovePurpose.FleetLacks;
        const fleetMoves = decision.moves.filter(isForFleet);
        // Moves of the two decisions don't count each other, so that together they could take all replicas of a column.
        const dataCentres = new Map(states.map(({ id, dataCentre }) => [id, dataCentre]));
        const moving = new Set(fleetMoves.map(({ endpointId }) => dataCentres.get(endpointId)));
        const others = moves.filter(move => !isForFleet(move) && !moving.has(dataCentres.get(move.endpointId)));
        return { assignments: decision.assignments, moves: [...fleetMoves, ...others] };
    }

    /** Logs why orders are withheld, once until the reason changes. */
    private logWithheld(service: string, orders: number, reason: string): void {
        if (orders === 0) {
            this.withheldReasons.delete(service);
        }
        else if (this.withheldReasons.get(service) !== reason) {
            this.withheldReasons.set(service, reason);
            this.options.log.write(events.placementOrderWithheld, { service, orders, reason });
        }
    }

    private scheduleMoves(
        service: string,
        moves: readonly LayerMove[],
        endpoints: readonly RegisteredEndpoint[],
        isStable: boolean,
    ) {
        // A node that has just started may not know all endpoints yet, and a needless move takes a replica from another column.
        const dataCentres = new Map(endpoints.map(({ id, dataCentre }) => [id, dataCentre]));
        const now = this.options.clock.getMonotonicTime();
        return this.moveSchedule.update(service, isStable ? moves : [], id => dataCentres.get(id) ?? "", now);
    }

    private createPlacementEndpoints(endpoints: readonly RegisteredEndpoint[], now: number): PlacementEndpoint[] {
        return endpoints.map(endpoint => ({
            id: endpoint.id,
            dataCentre: endpoint.dataCentre,
            kind: endpoint.kind ?? "",
            layers: this.orders.getOrderedLayers(endpoint.id) ?? endpoint.layers,
            isBusy: this.orders.isBusy(endpoint, now),
        }));
    }
}
