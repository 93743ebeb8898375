import type { EndpointReport } from "../../request/relay/endpointReport.ts";
import { getRequestMemory } from "../../request/relay/getRequestMemory.ts";
import type { HeldLayers } from "../../request/relay/heldLayers.ts";
import type { LayerOrder } from "../../request/relay/layerOrder.ts";
import type { OrderOutcome } from "../../request/relay/orderOutcome.ts";
import type { RegisteredEndpoint } from "../../request/relay/registeredEndpoint.ts";
import type { EngineModel } from "../../version/routing/engineModel.ts";
import type { RoutedService } from "../../version/routing/routedService.ts";
import type { Clock, TimerHandle } from "../clock.ts";
import { InvariantError } from "../invariantError.ts";
import type { FencedLease } from "../leases/fencedLease.ts";
import type { EventLog } from "../logging/eventLog.ts";
import { events } from "../logging/events.ts";
import type { PlatformStore } from "../platform/platformStore.ts";
import { assignLayers } from "./assignLayers.ts";
import { chooseLoads } from "./chooseLoads.ts";
import { EndpointSettling } from "./endpointSettling.ts";
import type { KindCount } from "./kindCount.ts";
import type { LayerAssignment } from "./layerAssignment.ts";
import type { LayerColumn } from "./layerColumn.ts";
import type { PlacementEndpoint } from "./placementEndpoint.ts";
import { type PlacementRecord, placementRecordSchema } from "./placementRecord.ts";
import { planColumns } from "./planColumns.ts";

/** Options of a {@link PlacementDuty}. */
interface PlacementDutyOptions {
    store: Pick<PlatformStore, "get" | "compareAndSwap">;
    lease: Pick<FencedLease, "getFencingNumber" | "getLastNumber">;
    /** Whether the store answers this node. */
    isStoreAnswering(): boolean;
    /** Whether this node would take the lease where there is an order to give. */
    isCandidate(): boolean;
    clock: Clock;
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

/** An order that was sent and whose result the endpoint's record doesn't show yet. */
interface OpenOrder {
    layers: HeldLayers;
    sentAt: number;
    /** Whether the endpoint said that it has begun it. */
    isBegun: boolean;
    isAsking: boolean;
}

const tickMilliseconds = 250;
/** An order whose result isn't registered after the time for its load is looked into; loads that share the way take longer. */
const orderGraceMilliseconds = 2_500;
/** An endpoint that crashed is back, empty, within about 4 s, of which its record outlives it for 3.6 s. */
const moveMilliseconds = 1_500;
/** A candidate that has found no plan looks again after this time; the holder may be at it. */
const lookAgainMilliseconds = 3_000;
/** An endpoint that is busy with another's order is asked again after this time. */
const busyMilliseconds = 800;
const secondMilliseconds = 1_000;

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
     * once; only a new plan waits until all endpoints have registered. Saves 0.9 s of each takeover.
     */
    private readonly lookedFor = new Set<string>();
    /** Monotonic time in milliseconds at which each service's plan was looked for last. */
    private readonly lookedAt = new Map<string, number>();
    private readonly settling = EndpointSettling.create();
    private readonly openOrders = new Map<string, OpenOrder>();
    /** Endpoints that are busy with an order of an earlier holder, until when they are left alone. */
    private readonly busyUntil = new Map<string, number>();
    /** Number of orders that each endpoint is known to have begun. */
    private readonly sequences = new Map<string, number>();
    /** The weakest column of each service, by its first layer, and since when it has been weak. */
    private readonly weakColumns = new Map<string, { start: number; since: number; }>();
    private timer: TimerHandle | undefined;
    /** Fencing number that an endpoint has refused; orders go on with a higher one only. */
    private refusedNumber = 0;
    private loadedNumber = 0;
    private isPlanning = false;
    private isWorkDue = true;

    private constructor(options: PlacementDutyOptions) {
        this.options = options;
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
        const mayOrder = fencingNumber !== undefined && fencingNumber > this.refusedNumber;
        if (!mayOrder && !this.options.isCandidate()) {
            return;
        }
        if (mayOrder && fencingNumber !== this.loadedNumber) {
            this.loadedNumber = fencingNumber;
            this.plans.clear();
            this.lookedFor.clear();
            this.openOrders.clear();
        }
        this.isWorkDue = false;
        for (const service of this.options.getModelServices()) {
            if (service.engine !== undefined && this.place(service.name, service.engine, mayOrder)) {
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
     * @returns Whether there is anything to do.
     */
    private place(service: string, model: EngineModel, mayOrder: boolean): boolean {
        const endpoints = this.options.getEndpoints(service);
        if (endpoints.length === 0) {
            return false;
        }
        const now = this.options.clock.getMonotonicTime();
        const isSettled = this.settling.note(service, endpoints, now);
        const columns = this.plans.get(service);
        if (columns === undefined) {
            void this.lookForPlan(service, model, endpoints, { isSettled, mayOrder });
            return true;
        }
        this.closeOrders(endpoints);
        const described = this.describe(endpoints, now);
        const assignments = this.decide(service, model, columns, described, isSettled);
        const isWorkDue = assignments.length > 0 || this.openOrders.size > 0;
        if (!mayOrder) {
            return isWorkDue;
        }
        const { loadsAtOnce } = model;
        const loading = [...this.openOrders.values()].filter(({ isBegun }) => isBegun).length;
        for (const assignment of chooseLoads({ columns, endpoints: described, assignments, loading, loadsAtOnce })) {
            const endpoint = endpoints.find(({ id }) => id === assignment.endpointId);
            if (endpoint !== undefined) {
                void this.order(model, endpoint, assignment);
            }
        }
        this.inquireLate(model, endpoints);
        return isWorkDue;
    }

    private describe(endpoints: readonly RegisteredEndpoint[], now: number): PlacementEndpoint[] {
        return endpoints.map(endpoint => ({
            id: endpoint.id,
            dataCentre: endpoint.dataCentre,
            kind: endpoint.kind ?? "",
            layers: this.openOrders.get(endpoint.id)?.layers ?? endpoint.layers,
            isBusy: this.openOrders.has(endpoint.id) || (this.busyUntil.get(endpoint.id) ?? 0) > now,
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
        const { assignments, move } = assignLayers(model, columns, endpoints);
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
        const { store, keyPrefix, log } = this.options;
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
        const columns = planColumns(model, countKinds(model, endpoints));
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

    private async order(model: EngineModel, endpoint: RegisteredEndpoint, assignment: LayerAssignment): Promise<void> {
        const { log, clock } = this.options;
        assertFits(model, endpoint, assignment.layers);
        // An endpoint that was ordered by an earlier holder refuses this number, and its report brings the right one.
        const expectedSequence = this.sequences.get(endpoint.id) ?? 0;
        const fencingNumber = this.getFencingNumber();
        if (fencingNumber === undefined) {
            return;
        }
        const { layers } = assignment;
        this.openOrders.set(endpoint.id, { layers, sentAt: clock.getMonotonicTime(), isBegun: false, isAsking: false });
        const sending = this.options.sendOrder(endpoint, { layers, fencingNumber, expectedSequence });
        const { start, end } = layers;
        const fields = { endpoint: endpoint.id, start, end, expectedSequence, fencingNumber };
        log.write(events.placementOrdered, fields);
        const outcome = await sending;
        log.write(events.placementOrderEnded, { ...fields, outcome: outcome?.kind ?? "unanswered" });
        if (outcome?.kind === "fenced") {
            this.refusedNumber = Math.max(this.refusedNumber, fencingNumber);
            this.openOrders.delete(endpoint.id);
        }
        else if (outcome?.kind === "begun") {
            this.noteBegun(endpoint.id);
            this.sequences.set(endpoint.id, expectedSequence + 1);
        }
        else if (outcome?.kind !== "done") {
            await this.readBack(endpoint);
        }
    }

    private noteBegun(endpointId: string): void {
        const order = this.openOrders.get(endpointId);
        if (order !== undefined) {
            order.isBegun = true;
        }
    }

    /** Learns what became of an order that was not taken, or whose answer was lost. */
    private async readBack(endpoint: RegisteredEndpoint): Promise<void> {
        const order = this.openOrders.get(endpoint.id);
        if (order === undefined || order.isAsking) {
            return;
        }
        order.isAsking = true;
        const report = await this.options.fetchReport(endpoint);
        order.isAsking = false;
        if (report === undefined) {
            order.sentAt = this.options.clock.getMonotonicTime();
            return;
        }
        this.sequences.set(endpoint.id, report.orderSequence);
        this.openOrders.delete(endpoint.id);
        if (report.isBusyWithOrder) {
            // It may be another's order that it is busy with, so nothing is known of its layers before it is done.
            this.busyUntil.set(endpoint.id, this.options.clock.getMonotonicTime() + busyMilliseconds);
        }
    }

    /** Forgets orders whose result the endpoints' records show, and those of endpoints that are gone. */
    private closeOrders(endpoints: readonly RegisteredEndpoint[]): void {
        const byId = new Map(endpoints.map(endpoint => [endpoint.id, endpoint]));
        for (const [id, { layers }] of this.openOrders) {
            const held = byId.get(id)?.layers;
            if (!byId.has(id) || held?.start === layers.start && held.end === layers.end) {
                this.openOrders.delete(id);
            }
        }
    }

    private inquireLate(model: EngineModel, endpoints: readonly RegisteredEndpoint[]): void {
        const now = this.options.clock.getMonotonicTime();
        for (const endpoint of endpoints) {
            const order = this.openOrders.get(endpoint.id);
            if (order === undefined) {
                continue;
            }
            const part = (order.layers.end - order.layers.start) / model.layers;
            if (now - order.sentAt > part * model.loadSeconds * secondMilliseconds + orderGraceMilliseconds) {
                void this.readBack(endpoint);
            }
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

/** Checks that an order leaves the endpoint room for requests; one that doesn't fit would end it. */
function assertFits(model: EngineModel, endpoint: RegisteredEndpoint, { start, end }: HeldLayers): void {
    const kind = model.kinds.get(endpoint.kind ?? "");
    if (kind === undefined || getRequestMemory(model, kind, end - start) <= 0) {
        throw InvariantError.create("orderFits", `Layers ${start}-${end} don't fit ${endpoint.id}.`);
    }
}
