import type { EndpointReport } from "../../request/relay/endpoints/endpointReport.ts";
import type { LayerOrder } from "../../request/relay/endpoints/layerOrder.ts";
import type { OrderOutcome } from "../../request/relay/endpoints/orderOutcome.ts";
import type { RegisteredEndpoint } from "../../request/relay/endpoints/registeredEndpoint.ts";
import type { EngineModel } from "../../version/routing/engineModel.ts";
import type { RoutedService } from "../../version/routing/routedService.ts";
import type { Clock, TimerHandle } from "../clock.ts";
import type { FencedLease } from "../leases/fencedLease.ts";
import type { EventLog } from "../logging/eventLog.ts";
import { events } from "../logging/events.ts";
import { runInSlices } from "../loop/runInSlices.ts";
import type { PlatformStore } from "../platform/platformStore.ts";
import { assignLayers } from "./assignLayers.ts";
import { chooseLoads } from "./chooseLoads.ts";
import { EndpointStabilityTracker } from "./endpointStabilityTracker.ts";
import type { KindCount } from "./kindCount.ts";
import type { LayerAssignment } from "./layerAssignment.ts";
import type { LayerColumn } from "./layerColumn.ts";
import { LayerOrderTracker } from "./layerOrderTracker.ts";
import { MovePurpose } from "./movePurpose.ts";
import type { PlacementEndpoint } from "./placementEndpoint.ts";
import { type PlacementRecord, placementRecordSchema } from "./placementRecord.ts";
import { searchColumns } from "./searchColumns.ts";

/** Options of a {@link PlacementController}. */
interface PlacementControllerOptions {
    store: Pick<PlatformStore, "get" | "compareAndSwap">;
    lease: Pick<FencedLease, "getFencingNumber" | "getLastNumber">;
    /** Checks if this node can reach the store. */
    isStoreAnswering(): boolean;
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
    sendOrder(endpoint: RegisteredEndpoint, order: LayerOrder): Promise<OrderOutcome | undefined>;
    fetchReport(endpoint: RegisteredEndpoint): Promise<EndpointReport | undefined>;
}

const checkIntervalMilliseconds = 250;
/**
 * Delay of moves that are not urgent. An endpoint that crashed often registers again without layers within this time
 * after its registration expired, and then no other endpoint needs to move.
 */
const moveDelayMilliseconds = 1_500;
/** Time after which a candidate without a plan reads the store again. The lease holder may be computing the plan. */
const candidateRetryMilliseconds = 3_000;

/**
 * Assigns layers to endpoints on the node that holds the lease. Makes one plan per service, keeps it in the store, and
 * orders endpoints to hold the planned columns as endpoints register or are lost. Each order carries the lease's
 * fencing number and the number of orders that the endpoint has begun, so that an order that arrives late has no
 * effect.
 */
export class PlacementController {
    private readonly options: PlacementControllerOptions;
    private readonly plans = new Map<string, LayerColumn[]>();
    /** The last known record of each service's plan in the store, even if the store may have lost it. */
    private readonly knownRecords = new Map<string, PlacementRecord>();
    /**
     * Services for which the store was read under the current lease, whether or not it contained a plan. A stored plan
     * is used immediately; only a new plan waits until all endpoints have registered.
     */
    private readonly servicesReadFromStore = new Set<string>();
    /** Monotonic time of the last attempt to load each service's plan, in milliseconds. */
    private readonly lastPlanAttemptAt = new Map<string, number>();
    private readonly stabilityTracker = EndpointStabilityTracker.create();
    private readonly orders: LayerOrderTracker;
    /**
     * The delayed move of each service: first layer of the target column, monotonic time since which it is the target, and whether
     * no endpoint holds the column.
     */
    private readonly dueMoves = new Map<string, { start: number; since: number; isUrgent: boolean; }>();
    private timer: TimerHandle | undefined;
    /** Fencing number under which plans were last loaded. */
    private loadedFencingNumber = 0;
    /** Whether an attempt to load or make a plan is in progress. */
    private isPlanning = false;
    private isWorkDue = true;

    private constructor(options: PlacementControllerOptions) {
        this.options = options;
        this.orders = LayerOrderTracker.create({ ...options, mayOrder: number => this.getFencingNumber() === number });
    }

    /** Creates an instance that does nothing before {@link start}. */
    static create(options: PlacementControllerOptions): PlacementController {
        return new PlacementController(options);
    }

    /** Starts to check the endpoints periodically while this node holds the lease or is a candidate for it. */
    start(): void {
        this.timer = this.options.clock.setTimer(checkIntervalMilliseconds, () => this.check());
    }

    /** Stops checking the endpoints and sending orders. */
    stop(): void {
        this.timer?.cancel();
        this.timer = undefined;
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
        for (const record of this.knownRecords.values()) {
            void this.writeRecord(record, 0);
        }
    }

    /** Checks if orders are due or pending, as of the last check of a candidate or the lease holder. */
    hasWork(): boolean {
        return this.isWorkDue;
    }

    private check(): void {
        this.start();
        if (this.isPlanning) {
            return;
        }
        const fencingNumber = this.getFencingNumber();
        const canOrder = fencingNumber !== undefined && fencingNumber > this.orders.getRefusedFencingNumber();
        if (!canOrder && !this.options.isCandidate()) {
            return;
        }
        if (canOrder && fencingNumber !== this.loadedFencingNumber) {
            this.loadedFencingNumber = fencingNumber;
            this.plans.clear();
            this.servicesReadFromStore.clear();
            this.orders.clear();
        }
        this.isWorkDue = false;
        for (const service of this.options.getModelServices()) {
            const orderFencingNumber = canOrder ? fencingNumber : undefined;
            if (service.engine !== undefined && this.placeLayers(service.name, service.engine, orderFencingNumber)) {
                this.isWorkDue = true;
            }
        }
    }

    /**
     * Gets the fencing number for orders. During a store outage no node can renew or acquire the lease, but lost layers
     * must still be placed, so the last holder continues. If only this node can't reach the store, endpoints refuse its
     * number once another holder has given them an order.
     */
    private getFencingNumber(): number | undefined {
        const { lease, isStoreAnswering } = this.options;
        return lease.getFencingNumber() ?? (isStoreAnswering() ? undefined : lease.getLastNumber());
    }

    /**
     * Checks the endpoints of a service and sends the orders that are due.
     * @param fencingNumber - Fencing number of the orders; undefined if this node must not send any.
     * @returns Whether a plan is missing, or orders are due or pending.
     */
    private placeLayers(service: string, model: EngineModel, fencingNumber: number | undefined): boolean {
        const endpoints = this.options.getEndpoints(service);
        if (endpoints.length === 0) {
            return false;
        }
        const now = this.options.clock.getMonotonicTime();
        const isStable = this.stabilityTracker.update(service, endpoints, now);
        const columns = this.plans.get(service);
        if (columns === undefined) {
            const canOrder = fencingNumber !== undefined;
            void this.ensurePlan(service, model, endpoints, { isStable, canOrder });
            return true;
        }
        this.orders.removeCompleted(service, endpoints);
        const states = this.createPlacementEndpoints(endpoints, now);
        const canOrder = fencingNumber !== undefined;
        const assignments = this.getDueOrders(service, model, columns, states, { isStable, canOrder });
        const isWorkDue = assignments.length > 0 || this.orders.hasPending();
        if (!canOrder) {
            return isWorkDue;
        }
        const { loadsAtOnce } = model;
        const activeLoads = this.orders.countActiveLoads(service);
        for (const assignment of chooseLoads({ columns, endpoints: states, assignments, activeLoads, loadsAtOnce })) {
            const endpoint = endpoints.find(({ id }) => id === assignment.endpointId);
            if (endpoint !== undefined) {
                void this.orders.send(model, endpoint, assignment.layers, fencingNumber);
            }
        }
        this.orders.checkOverdue();
        // A holder that gave up the lease before an urgent move is due would have to acquire it again for the move.
        return isWorkDue || this.dueMoves.get(service)?.isUrgent === true;
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

    /** Loads or makes the plan of a service if an attempt is due. A candidate only loads it, and less often. */
    private async ensurePlan(
        service: string,
        model: EngineModel,
        endpoints: readonly RegisteredEndpoint[],
        { isStable, canOrder }: { isStable: boolean; canOrder: boolean; },
    ): Promise<void> {
        const now = this.options.clock.getMonotonicTime();
        const isDue = canOrder
            ? isStable || !this.servicesReadFromStore.has(service)
            : isStable && now - (this.lastPlanAttemptAt.get(service) ?? -Infinity) > candidateRetryMilliseconds;
        if (!isDue) {
            return;
        }
        this.lastPlanAttemptAt.set(service, now);
        this.isPlanning = true;
        await this.loadPlan(service, model, endpoints, isStable && canOrder);
        this.isPlanning = false;
    }

    /**
     * Gets the orders that are due. A move that is not urgent is delayed, since a lost replica of the target column may
     * recover.
     */
    private getDueOrders(
        service: string,
        model: EngineModel,
        columns: readonly LayerColumn[],
        endpoints: readonly PlacementEndpoint[],
        { isStable, canOrder }: { isStable: boolean; canOrder: boolean; },
    ): LayerAssignment[] {
        const now = this.options.clock.getMonotonicTime();
        const { assignments, moves: [move] } = this.options.runLong(
            "assignLayers",
            () => assignLayers(model, columns, endpoints),
        );
        const dueMove = this.dueMoves.get(service);
        // A new lease holder may not know all endpoints yet, and a needless move takes a replica from another column.
        if (move === undefined || !isStable) {
            this.dueMoves.delete(service);
            return assignments;
        }
        const isUrgent = move.purpose === MovePurpose.FleetLacks;
        if (dueMove?.start !== move.layers.start) {
            this.dueMoves.set(service, { start: move.layers.start, since: now, isUrgent });
            return assignments;
        }
        if (now - dueMove.since < moveDelayMilliseconds && !isUrgent) {
            return assignments;
        }
        if (canOrder || !isUrgent) {
            this.dueMoves.delete(service);
        }
        return [...assignments, move];
    }

    private async loadPlan(
        service: string,
        model: EngineModel,
        endpoints: readonly RegisteredEndpoint[],
        canCreatePlan: boolean,
    ): Promise<void> {
        const { store, keyPrefix, log } = this.options;
        const key = `${keyPrefix}${service}`;
        const stored = await store.get(key);
        if (stored.err) {
            log.write(events.leaseCallFailed, { key, reason: stored.val.message });
            return;
        }
        this.servicesReadFromStore.add(service);
        const record = stored.val === undefined ? undefined : parseRecord(stored.val.value);
        if (record !== undefined && isRecordOf(model, record)) {
            this.plans.set(service, record.columns);
            this.knownRecords.set(service, record);
            log.write(events.placementPlanned, { service, source: "store", columns: formatColumns(record.columns) });
            return;
        }
        if (!canCreatePlan) {
            return;
        }
        const newRecord = await this.createRecord(service, model, endpoints);
        if (newRecord.columns.length === 0) {
            log.write(events.layersWithoutEngine, { service });
            return;
        }
        // If the answer was lost or another node stored a plan first, the next attempt reads the stored plan.
        if (await this.writeRecord(newRecord, stored.val?.revision ?? 0)) {
            this.plans.set(service, newRecord.columns);
            const columns = formatColumns(newRecord.columns);
            log.write(events.placementPlanned, { service, source: "computed", columns });
        }
    }

    /** Gets the last known plan, which the store may have lost, or makes one. */
    private async createRecord(
        service: string,
        model: EngineModel,
        endpoints: readonly RegisteredEndpoint[],
    ): Promise<PlacementRecord> {
        const known = this.knownRecords.get(service);
        if (known !== undefined && isRecordOf(model, known)) {
            return known;
        }
        const columns = await runInSlices(searchColumns(model, countKinds(model, endpoints)), this.options.clock);
        return { service, modelName: model.modelName, layers: model.layers, columns };
    }

    private async writeRecord(record: PlacementRecord, expectedRevision: number): Promise<boolean> {
        const { store, keyPrefix } = this.options;
        const key = `${keyPrefix}${record.service}`;
        const written = await store.compareAndSwap(key, expectedRevision, JSON.stringify(record));
        const isWritten = written.ok && written.val.swapped;
        if (isWritten) {
            this.knownRecords.set(record.service, record);
        }
        return isWritten;
    }
}

function isRecordOf(model: EngineModel, { layers, modelName }: PlacementRecord): boolean {
    return layers === model.layers && modelName === model.modelName;
}

function parseRecord(text: string): PlacementRecord | undefined {
    try {
        return placementRecordSchema.safeParse(JSON.parse(text)).data;
    }
    catch {
        // Invalid JSON counts as no plan, and a new plan replaces it.
        return undefined;
    }
}

function countKinds(model: EngineModel, endpoints: readonly RegisteredEndpoint[]): KindCount[] {
    const counts = new Map<string, Map<string, number>>();
    for (const { kind = "", dataCentre } of endpoints) {
        const kindCounts = counts.get(kind) ?? new Map<string, number>();
        kindCounts.set(dataCentre, (kindCounts.get(dataCentre) ?? 0) + 1);
        counts.set(kind, kindCounts);
    }
    return [...model.kinds.values()].map(kind => ({ kind, counts: counts.get(kind.name) ?? new Map() }));
}

function formatColumns(columns: readonly LayerColumn[]): string {
    return columns.map(({ layers, kind }) => `${kind}=${layers.start}-${layers.end}`).join(",");
}
