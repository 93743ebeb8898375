import type { HeldLayers } from "../../request/relay/endpoints/heldLayers.ts";
import type { EngineModel } from "../../version/routing/engineModel.ts";
import type { ColumnCoverage } from "./columnCoverage.ts";
import { getRequestTokens } from "./getRequestTokens.ts";
import { isSameRange } from "./isSameRange.ts";
import { isUseful } from "./isUseful.ts";
import type { LayerColumn } from "./layerColumn.ts";
import type { PlacementDecision } from "./placementDecision.ts";
import type { PlacementEndpoint } from "./placementEndpoint.ts";
import type { ReplicaSet } from "./replicaSet.ts";

/**
 * Most parts that a column is split into. A chain with more stages in place of one is slower than waiting for a replica
 * to recover.
 */
const maximumPartsPerColumn = 3;
/** The same for a column that no endpoint of the fleet holds, without which no chain is complete. */
const maximumPartsPerLackedColumn = 8;

/**
 * Which endpoints hold which columns of a plan, including the layers that they are loading and those that are decided
 * but not ordered yet. Decisions can be taken back, so that alternatives can be tried.
 */
export class FleetCoverage {
    readonly model: EngineModel;
    readonly columns: readonly ColumnCoverage[];
    /** Endpoints by data centre, in the order in which they were passed. */
    readonly dataCentres: ReadonlyMap<string, readonly PlacementEndpoint[]>;
    private readonly initial = new Map<string, ReplicaSet>();
    private readonly held = new Map<string, ReplicaSet>();
    /** Number of endpoints that have loaded each column or part, in the fleet and by data centre. */
    private readonly loaded = new Map<ReplicaSet, number>();
    private readonly loadedByDataCentre = new Map<string, Map<ReplicaSet, number>>();
    private readonly decisions: PlacementDecision[] = [];

    private constructor(
        model: EngineModel,
        columns: readonly LayerColumn[],
        endpoints: readonly PlacementEndpoint[],
    ) {
        this.model = model;
        this.columns = columns.map(column => createColumnCoverage(model, column));
        this.dataCentres = Map.groupBy(endpoints, ({ dataCentre }) => dataCentre);
        for (const endpoint of endpoints) {
            const set = this.findSet(endpoint.layers);
            if (set !== undefined) {
                this.initial.set(endpoint.id, set);
                this.setHeld(endpoint, set);
                this.countLoaded(endpoint, set);
            }
        }
    }

    /** Creates the coverage of a plan's columns by endpoints as they are now. */
    static create(
        model: EngineModel,
        columns: readonly LayerColumn[],
        endpoints: readonly PlacementEndpoint[],
    ): FleetCoverage {
        return new FleetCoverage(model, columns, endpoints);
    }

    /** Gets the column or part that an endpoint holds or is to hold. */
    getHeld({ id }: PlacementEndpoint): ReplicaSet | undefined {
        return this.held.get(id);
    }

    /** Decides that an endpoint is to hold a column or part. */
    place(endpoint: PlacementEndpoint, to: ReplicaSet): void {
        this.decisions.push({ endpoint, from: this.held.get(endpoint.id), to });
        this.setHeld(endpoint, to);
    }

    /** Gets the number of decisions, to return to with {@link rollback}. */
    getDecisionCount(): number {
        return this.decisions.length;
    }

    /** Takes back all but the given number of decisions. */
    rollback(count: number): void {
        while (this.decisions.length > count) {
            const { endpoint, from } = this.decisions.pop()!;
            this.setHeld(endpoint, from);
        }
    }

    /** Lists one decision for each endpoint that is to hold something else than before, in the order of the decisions. */
    listDecisions(): PlacementDecision[] {
        const merged = new Map<string, PlacementDecision>();
        for (const { endpoint, from, to } of this.decisions) {
            merged.set(endpoint.id, { endpoint, from: (merged.get(endpoint.id) ?? { from }).from, to });
        }
        return [...merged.values()].filter(({ from, to }) => from !== to);
    }

    /** Checks if an endpoint that held nothing before may be ordered to load layers, whether or not it is decided. */
    isFree(endpoint: PlacementEndpoint): boolean {
        return !endpoint.isBusy && !this.initial.has(endpoint.id);
    }

    /** Checks if the endpoints of a data centre hold a column, as a whole or in parts. */
    isCovered(coverage: ColumnCoverage, dataCentre: string): boolean {
        return coverage.counts.has(dataCentre) || isHeldInParts(coverage, part => part.counts.has(dataCentre));
    }

    /** Checks if the endpoints of the fleet hold a column, as a whole or in parts. */
    isCoveredByFleet(coverage: ColumnCoverage): boolean {
        return coverage.counts.size > 0 || isHeldInParts(coverage, part => part.counts.size > 0);
    }

    /** Lists the columns that the endpoints of a data centre don't hold. */
    listLacking(dataCentre: string): ColumnCoverage[] {
        return this.columns.filter(coverage => !this.isCovered(coverage, dataCentre));
    }

    /** Checks if an endpoint that holds a column or part leaves its data centre another replica, loaded or not. */
    isSpare(endpoint: PlacementEndpoint): boolean {
        const set = this.held.get(endpoint.id);
        if (set === undefined) {
            return false;
        }
        const { dataCentre } = endpoint;
        return this.hasOtherReplica(set, ({ counts }) => counts.get(dataCentre) ?? 0);
    }

    /**
     * Checks if an endpoint that holds a column or part now leaves another endpoint that has loaded it.
     * @param isElsewhereEnough - Whether an endpoint of another data centre is enough.
     */
    canLeave(endpoint: PlacementEndpoint, isElsewhereEnough: boolean): boolean {
        const set = this.initial.get(endpoint.id);
        if (endpoint.isBusy || set === undefined) {
            return false;
        }
        const loaded = isElsewhereEnough ? this.loaded : this.loadedByDataCentre.get(endpoint.dataCentre);
        return this.hasOtherReplica(set, other => loaded?.get(other) ?? 0);
    }

    /** Gets the memory of an endpoint, in megabytes. */
    getMemory({ kind }: PlacementEndpoint): number {
        return this.model.kinds.get(kind)?.memoryMegabytes ?? 0;
    }

    /** Gets the memory for requests that the column of an endpoint has without it, in tokens. */
    getRemainingTokens(endpoint: PlacementEndpoint): number {
        const set = this.held.get(endpoint.id);
        if (set === undefined) {
            return 0;
        }
        const ownTokens = isPart(set) ? 0 : getRequestTokens(this.model, set.layers, endpoint);
        return this.getWhole(set).tokens - ownTokens;
    }

    /** Checks if an endpoint has enough memory for layers and a few requests. */
    fits({ layers }: ReplicaSet, endpoint: PlacementEndpoint): boolean {
        return isUseful(this.model, layers, endpoint);
    }

    /** Gets the coverage of the column that a set is, or is a part of. */
    getWhole({ column }: ReplicaSet): ColumnCoverage {
        return this.columns.find(coverage => coverage.column === column)!;
    }

    /** Checks if a column or part that one endpoint holds is held by another one too: alone, in parts, or with the whole column. */
    private hasOtherReplica(set: ReplicaSet, getCount: (set: ReplicaSet) => number): boolean {
        const whole = this.getWhole(set);
        return getCount(set) > 1
            || (set === whole ? isHeldInParts(whole, part => getCount(part) > 0) : getCount(whole) > 0);
    }

    private findSet(layers: HeldLayers | undefined): ReplicaSet | undefined {
        if (layers === undefined) {
            return undefined;
        }
        const whole = this.columns.find(({ column: { layers: { start, end } } }) =>
            start <= layers.start && layers.end <= end
        );
        if (whole === undefined || isSameRange(layers, whole.layers)) {
            return whole;
        }
        return [...whole.partitions, ...whole.smallPartitions].flat().find(part => isSameRange(layers, part.layers));
    }

    private countLoaded({ isBusy, dataCentre }: PlacementEndpoint, set: ReplicaSet): void {
        if (isBusy) {
            return;
        }
        const nearby = this.loadedByDataCentre.get(dataCentre) ?? new Map<ReplicaSet, number>();
        this.loadedByDataCentre.set(dataCentre, nearby);
        for (const counts of [this.loaded, nearby]) {
            counts.set(set, (counts.get(set) ?? 0) + 1);
        }
    }

    private setHeld(endpoint: PlacementEndpoint, set: ReplicaSet | undefined): void {
        const { id, dataCentre } = endpoint;
        const before = this.held.get(id);
        if (before !== undefined) {
            before.replicas.delete(id);
            this.addCount(before, dataCentre, -1);
            this.addTokens(before, endpoint, -1);
            this.held.delete(id);
        }
        if (set !== undefined) {
            set.replicas.set(id, endpoint);
            this.addCount(set, dataCentre, 1);
            this.addTokens(set, endpoint, 1);
            this.held.set(id, set);
        }
    }

    private addCount({ counts }: ReplicaSet, dataCentre: string, change: number): void {
        const count = (counts.get(dataCentre) ?? 0) + change;
        if (count === 0) {
            counts.delete(dataCentre);
        }
        else {
            counts.set(dataCentre, count);
        }
    }

    private addTokens(set: ReplicaSet, endpoint: PlacementEndpoint, factor: number): void {
        if (!isPart(set)) {
            this.getWhole(set).tokens += factor * getRequestTokens(this.model, set.layers, endpoint);
        }
    }
}

/** Checks if there is a way to split a column such that each part fulfils a condition. */
function isHeldInParts(
    { partitions, smallPartitions }: ColumnCoverage,
    isHeld: (part: ReplicaSet) => boolean,
): boolean {
    const isHeldAs = (parts: readonly ReplicaSet[]) => parts.every(isHeld);
    return partitions.some(isHeldAs) || smallPartitions.some(isHeldAs);
}

function isPart({ layers, column }: ReplicaSet): boolean {
    return layers !== column.layers;
}

/** Creates the coverage of a column without replicas, with each way to split the column into parts. */
function createColumnCoverage(model: EngineModel, column: LayerColumn): ColumnCoverage {
    const partitions: ReplicaSet[][] = [];
    for (const count of listPartCounts(model, column)) {
        // Two partitions of a column with few layers can have a part in common.
        const existing = partitions.flat();
        partitions.push(
            splitColumn(column.layers, count).map(layers =>
                existing.find(part => isSameRange(part.layers, layers)) ?? createReplicaSet(column, layers)
            ),
        );
    }
    return {
        ...createReplicaSet(column, column.layers),
        tokens: 0,
        partitions: partitions.filter(({ length }) => length <= maximumPartsPerColumn),
        smallPartitions: partitions.filter(({ length }) => length > maximumPartsPerColumn),
    };
}

/** Lists into how many parts a column is split: few, and as many as endpoints of each kind need to hold one. */
function listPartCounts(model: EngineModel, { layers }: LayerColumn): number[] {
    const maximumCount = Math.min(maximumPartsPerLackedColumn, layers.end - layers.start);
    const all = Array.from({ length: maximumCount }, (_, index) => index + 1);
    const needed = new Set<number | undefined>();
    for (const kind of model.kinds.keys()) {
        needed.add(all.find(count => splitColumn(layers, count).every(part => isUseful(model, part, { kind }))));
    }
    return all.filter(count => count > 1 && (count <= maximumPartsPerColumn || needed.has(count)));
}

function createReplicaSet(column: LayerColumn, layers: HeldLayers): ReplicaSet {
    return { layers, column, replicas: new Map(), counts: new Map() };
}

function splitColumn({ start, end }: HeldLayers, count: number): HeldLayers[] {
    const size = (end - start) / count;
    return Array.from({ length: count }, (_, index) => ({
        start: start + Math.round(index * size),
        end: start + Math.round((index + 1) * size),
    }));
}
