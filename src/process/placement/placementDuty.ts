import type { EndpointReport } from "../../request/relay/endpointReport.ts";
import type { LayerOrder } from "../../request/relay/layerOrder.ts";
import type { OrderOutcome } from "../../request/relay/orderOutcome.ts";
import type { RegisteredEndpoint } from "../../request/relay/registeredEndpoint.ts";
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
import { EndpointSettling } from "./endpointSettling.ts";
import type { KindCount } from "./kindCount.ts";
import type { LayerAssignment } from "./layerAssignment.ts";
import type { LayerColumn } from "./layerColumn.ts";
import { LayerOrders } from "./layerOrders.ts";
import type { PlacementEndpoint } from "./placementEndpoint.ts";
import { type PlacementRecord, placementRecordSchema } from "./placementRecord.ts";
import { searchColumns } from "./searchColumns.ts";

/** Options of a {@link PlacementDuty}. */
interface PlacementDutyOptions {
    store: Pick<PlatformStore, "get" | "compareAndSwap">;
    lease: Pick<FencedLease, "getFencingNumber" | "getLastNumber">;
    /** Whether the store answers this node. */
    isStoreAnswering(): boolean;
    /** Whether this node would take the lease where there is an order to give. */
    isCandidate(): boolean;
    clock: Clock;
    /** Runs a part of the work that may take long; see `LoopWatch.run`. */
    runLong<Result>(name: string, action: () => Result): Result;
    log: EventLog;
    /** Prefix of the plans' keys; the service's name follows. */
    keyPrefix: string;
    /** Gets the services that have model engines. */
    getModelServices(): RoutedService[];
    /** Gets the endpoints of a service that stay. */
    getEndpoints(service: string): readonly RegisteredEndpoint[];
    sendOrder(endpoint: RegisteredEndpoint, order: LayerOrder): Promise<OrderOutcome | undefined>;
    fetchReport(endpoint: RegisteredEndpoint): Promise<EndpointReport | undefined>;
}

const tickMilliseconds = 250;
/** An endpoint that crashed is often back, empty, this long after its record has lapsed; then nobody need move. */
const moveMilliseconds = 1_500;
/** A candidate that has found no plan looks again after this time; the holder may be at it. */
const lookAgainMilliseconds = 3_000;

/**
 * Gives endpoints their layers, on the one node that holds the lease. Plans once for a service, keeps the plan in the
 * store, and fills what endpoints come or go. All orders carry the lease's fencing number and the number of orders that
 * the endpoint has begun, so that one that arrives late does nothing.
 */
export class PlacementDuty {
    private readonly options: PlacementDutyOptions;
    private readonly plans = new Map<string, LayerColumn[]>();
    /**
     * Services whose plan was looked for in the store since the lease was taken. A successor finds one and goes on with it at
     * once; only a new plan waits until all endpoints have registered.
     */
    private readonly lookedFor = new Set<string>();
    /** Monotonic time in milliseconds at which each service's plan was looked for last. */
    private readonly lookedAt = new Map<string, number>();
    private readonly settling = EndpointSettling.create();
    private readonly orders: LayerOrders;
    /** The weakest column of each service, by its first layer, and since when it has been weak. */
    private readonly weakColumns = new Map<string, { start: number; since: number; }>();
    private timer: TimerHandle | undefined;
    private loadedNumber = 0;
    private isPlanning = false;
    private isWorkDue = true;

    private constructor(options: PlacementDutyOptions) {
        this.options = options;
        this.orders = LayerOrders.create(options);
    }

    /** Creates a duty that does nothing before {@link start}. */
    static create(options: PlacementDutyOptions): PlacementDuty {
        return new PlacementDuty(options);
    }

    /** Looks at the endpoints from now on, whenever the lease is held. */
    start(): void {
        this.timer = this.options.clock.setTimer(tickMilliseconds, () => this.tick());
    }

    /** Gives no further orders. */
    stop(): void {
        this.timer?.cancel();
        this.timer = undefined;
    }

    /** Whether there is an order to give, as far as a candidate or the holder can tell. */
    hasWork(): boolean {
        return this.isWorkDue;
    }

    private tick(): void {
        this.start();
        if (this.isPlanning) {
            return;
        }
        const fencingNumber = this.getFencingNumber();
        const mayOrder = fencingNumber !== undefined && fencingNumber > this.orders.getRefusedNumber();
        if (!mayOrder && !this.options.isCandidate()) {
            return;
        }
        if (mayOrder && fencingNumber !== this.loadedNumber) {
            this.loadedNumber = fencingNumber;
            this.plans.clear();
            this.lookedFor.clear();
            this.orders.clear();
        }
        this.isWorkDue = false;
        for (const service of this.options.getModelServices()) {
            const orderNumber = mayOrder ? fencingNumber : undefined;
            if (service.engine !== undefined && this.place(service.name, service.engine, orderNumber)) {
                this.isWorkDue = true;
            }
        }
    }

    /**
     * Gets the number to give orders under. While the store is out of order nobody can renew or take the lease, and layers
     * that are lost then must be placed all the same; so the last holder goes on. Should the store refuse only this node,
     * the endpoints refuse its number once another holder has given them an order.
     */
    private getFencingNumber(): number | undefined {
        const { lease, isStoreAnswering } = this.options;
        return lease.getFencingNumber() ?? (isStoreAnswering() ? undefined : lease.getLastNumber());
    }

    /**
     * Looks at the endpoints of a service, and gives the orders that are due where it may.
     * @param fencingNumber - Number to give them under; undefined where it may give none.
     * @returns Whether there is anything to do.
     */
    private place(service: string, model: EngineModel, fencingNumber: number | undefined): boolean {
        const endpoints = this.options.getEndpoints(service);
        if (endpoints.length === 0) {
            return false;
        }
        const now = this.options.clock.getMonotonicTime();
        const isSettled = this.settling.note(service, endpoints, now);
        const columns = this.plans.get(service);
        if (columns === undefined) {
            const mayOrder = fencingNumber !== undefined;
            void this.lookForPlan(service, model, endpoints, { isSettled, mayOrder });
            return true;
        }
        this.orders.close(endpoints);
        const described = this.describe(endpoints, now);
        const assignments = this.decide(service, model, columns, described, isSettled);
        const isWorkDue = assignments.length > 0 || this.orders.isAnyOpen();
        if (fencingNumber === undefined) {
            return isWorkDue;
        }
        const { loadsAtOnce } = model;
        const loading = this.orders.countLoading();
        for (const assignment of chooseLoads({ columns, endpoints: described, assignments, loading, loadsAtOnce })) {
            const endpoint = endpoints.find(({ id }) => id === assignment.endpointId);
            if (endpoint !== undefined) {
                void this.orders.send(model, endpoint, assignment.layers, fencingNumber);
            }
        }
        this.orders.inquireLate(model, endpoints);
        return isWorkDue;
    }

    private describe(endpoints: readonly RegisteredEndpoint[], now: number): PlacementEndpoint[] {
        return endpoints.map(endpoint => ({
            id: endpoint.id,
            dataCentre: endpoint.dataCentre,
            kind: endpoint.kind ?? "",
            layers: this.orders.getLayers(endpoint.id) ?? endpoint.layers,
            isBusy: this.orders.isBusy(endpoint.id, now),
        }));
    }

    /** Loads the plan of a service, or makes it; a candidate only looks, and not at each tick. */
    private async lookForPlan(
        service: string,
        model: EngineModel,
        endpoints: readonly RegisteredEndpoint[],
        { isSettled, mayOrder }: { isSettled: boolean; mayOrder: boolean; },
    ): Promise<void> {
        const now = this.options.clock.getMonotonicTime();
        const isDue = mayOrder
            ? isSettled || !this.lookedFor.has(service)
            : isSettled && now - (this.lookedAt.get(service) ?? -Infinity) > lookAgainMilliseconds;
        if (!isDue) {
            return;
        }
        this.lookedAt.set(service, now);
        this.isPlanning = true;
        await this.loadPlan(service, model, endpoints, isSettled && mayOrder);
        this.isPlanning = false;
    }

    /** Decides on orders; a move to a weak column only once that has been weak for a while, since a lost replica may return. */
    private decide(
        service: string,
        model: EngineModel,
        columns: readonly LayerColumn[],
        endpoints: readonly PlacementEndpoint[],
        isSettled: boolean,
    ): LayerAssignment[] {
        const now = this.options.clock.getMonotonicTime();
        const { assignments, move } = this.options.runLong(
            "assignLayers",
            () => assignLayers(model, columns, endpoints),
        );
        const weak = this.weakColumns.get(service);
        // A successor may not know all endpoints yet, and a holder that is moved for a column that only looks weak is lost.
        if (move === undefined || !isSettled) {
            this.weakColumns.delete(service);
            return assignments;
        }
        if (weak?.start !== move.layers.start) {
            this.weakColumns.set(service, { start: move.layers.start, since: now });
            return assignments;
        }
        if (now - weak.since < moveMilliseconds && !move.isUrgent) {
            return assignments;
        }
        this.weakColumns.delete(service);
        return [...assignments, move];
    }

    private async loadPlan(
        service: string,
        model: EngineModel,
        endpoints: readonly RegisteredEndpoint[],
        mayPlan: boolean,
    ): Promise<void> {
        const { store, keyPrefix, log, clock } = this.options;
        const key = `${keyPrefix}${service}`;
        const stored = await store.get(key);
        if (stored.err) {
            log.write(events.leaseCallFailed, { key, reason: stored.val.message });
            return;
        }
        this.lookedFor.add(service);
        const record = stored.val === undefined ? undefined : parseRecord(stored.val.value);
        if (record !== undefined && record.layers === model.layers && record.modelName === model.modelName) {
            this.plans.set(service, record.columns);
            log.write(events.placementPlanned, { service, source: "store", columns: formatColumns(record.columns) });
            return;
        }
        if (!mayPlan) {
            return;
        }
        const columns = await runInSlices(searchColumns(model, countKinds(model, endpoints)), clock);
        if (columns.length === 0) {
            log.write(events.layersWithoutEngine, { service });
            return;
        }
        const planned: PlacementRecord = { service, modelName: model.modelName, layers: model.layers, columns };
        const written = await store.compareAndSwap(key, stored.val?.revision ?? 0, JSON.stringify(planned));
        // A lost answer is found by the next read, and a plan of another holder by its revision.
        if (written.ok && written.val.swapped) {
            this.plans.set(service, columns);
            log.write(events.placementPlanned, { service, source: "computed", columns: formatColumns(columns) });
        }
    }
}

function parseRecord(text: string): PlacementRecord | undefined {
    try {
        return placementRecordSchema.safeParse(JSON.parse(text)).data;
    }
    catch {
        // A text that is no JSON is no plan; a new one takes its place.
        return undefined;
    }
}

function countKinds(model: EngineModel, endpoints: readonly RegisteredEndpoint[]): KindCount[] {
    const counts = new Map<string, Map<string, number>>();
    for (const { kind = "", dataCentre } of endpoints) {
        const ofKind = counts.get(kind) ?? new Map<string, number>();
        ofKind.set(dataCentre, (ofKind.get(dataCentre) ?? 0) + 1);
        counts.set(kind, ofKind);
    }
    return [...model.kinds.values()].map(kind => ({ kind, counts: counts.get(kind.name) ?? new Map() }));
}

function formatColumns(columns: readonly LayerColumn[]): string {
    return columns.map(({ layers, kind }) => `${kind}=${layers.start}-${layers.end}`).join(",");
}
