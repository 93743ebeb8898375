import type { RegisteredEndpoint } from "../../request/relay/endpoints/registeredEndpoint.ts";
import type { EngineModel } from "../../version/routing/engineModel.ts";
import type { Clock } from "../clock.ts";
import type { EventLog } from "../logging/eventLog.ts";
import { events } from "../logging/events.ts";
import { runInSlices } from "../loop/runInSlices.ts";
import type { PlatformStore } from "../platform/platformStore.ts";
import type { KindCount } from "./kindCount.ts";
import type { LayerColumn } from "./layerColumn.ts";
import { type PlacementRecord, placementRecordSchema } from "./placementRecord.ts";
import { searchColumns } from "./searchColumns.ts";

/** Options of {@link PlacementPlans}. */
interface PlacementPlansOptions {
    store: Pick<PlatformStore, "get" | "compareAndSwap">;
    clock: Clock;
    log: EventLog;
    /** Prefix of the keys of plans in the store, followed by the name of the service. */
    keyPrefix: string;
    /** Called after each attempt to load or make a plan. */
    onAttempted(): void;
}

/** What a node may do to get the plan of a service. */
interface PlanSituation {
    /** Whether the set of endpoints is stable, so that a plan may be made from it. */
    isStable: boolean;
    /** Whether this node holds the lease. */
    canOrder: boolean;
}

/** Time after which a candidate without a plan reads the store again. The lease holder may be computing the plan. */
const candidateRetryMilliseconds = 3_000;
/** Time after which the holder tries again if the store didn't answer or no plan was possible: the end of an attempt causes a check. */
const holderRetryMilliseconds = 250;

/** The plans of the services: read from the store, or made and stored by the lease holder. */
export class PlacementPlans {
    private readonly options: PlacementPlansOptions;
    private readonly plans = new Map<string, LayerColumn[]>();
    /** The last known record of each service's plan in the store, even if the store may have lost it. */
    private readonly knownRecords = new Map<string, PlacementRecord>();
    /**
     * Services for which the store was read under the current lease, whether or not it contained a plan. A stored plan
     * is used immediately; only a new plan waits until all endpoints have registered.
     */
    private readonly servicesReadFromStore = new Set<string>();
    /** Monotonic time of the last attempt to load each service's plan, in milliseconds. */
    private readonly lastAttemptAt = new Map<string, number>();
    private isAttempting = false;

    private constructor(options: PlacementPlansOptions) {
        this.options = options;
    }

    /** Creates an instance without plans. */
    static create(options: PlacementPlansOptions): PlacementPlans {
        return new PlacementPlans(options);
    }

    /** Gets the plan of a service; undefined if there is none. */
    get(service: string): readonly LayerColumn[] | undefined {
        return this.plans.get(service);
    }

    /** Checks if an attempt to load or make a plan is in progress. */
    isBusy(): boolean {
        return this.isAttempting;
    }

    /**
     * Reads the plans of services from the store again, since another holder may have stored others. The known plans stay in use if the
     * store doesn't answer.
     */
    async refresh(services: readonly { name: string; engine?: EngineModel | undefined; }[]): Promise<void> {
        this.servicesReadFromStore.clear();
        await Promise.all(services.map(async ({ name, engine }) => {
            if (engine !== undefined) {
                await this.load(name, engine, [], false);
            }
        }));
    }

    /** Writes the plans again that an older snapshot of the store lacks. */
    writeAgain(): void {
        for (const record of this.knownRecords.values()) {
            void this.writeRecord(record, 0);
        }
    }

    /** Loads or makes the plan of a service if an attempt is due. A candidate only loads it, and less often. */
    async ensure(
        service: string,
        model: EngineModel,
        endpoints: readonly RegisteredEndpoint[],
        { isStable, canOrder }: PlanSituation,
    ): Promise<void> {
        const now = this.options.clock.getMonotonicTime();
        const sinceLastAttempt = now - (this.lastAttemptAt.get(service) ?? -Infinity);
        const isDue = canOrder
            ? (isStable || !this.servicesReadFromStore.has(service)) && sinceLastAttempt >= holderRetryMilliseconds
            : isStable && sinceLastAttempt > candidateRetryMilliseconds;
        if (!isDue) {
            return;
        }
        this.lastAttemptAt.set(service, now);
        this.isAttempting = true;
        await this.load(service, model, endpoints, isStable && canOrder);
        this.isAttempting = false;
        this.options.onAttempted();
    }

    private async load(
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
        this.plans.delete(service);
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
