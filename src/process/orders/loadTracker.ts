import { countMissingLayers } from "./countMissingLayers.ts";
import type { ObservedEngine } from "./observedEngine.ts";
import type { OrderPolicy } from "./orderPolicy.ts";
import type { PlannedLoad } from "./plannedLoad.ts";
import type { RecordedLoad } from "./recordedLoad.ts";

/** A load that is in progress, or that was planned within the last minute. */
interface OrderedLoad extends RecordedLoad {
    /** Monotonic time at which the load was planned, or restored from the record, in milliseconds. */
    startedAt: number;
    /** Whether the engine has accepted the order. */
    isSent: boolean;
    /** Whether the engine's own status contains all layers of the range. */
    isConfirmed: boolean;
}

/** How a load ended. */
interface LoadEnd {
    load: PlannedLoad;
    /** Reason for the failure; undefined if the engine holds the range. */
    failure?: string;
}

const millisecondsPerMinute = 60_000;

/** Tracks the loads in progress and limits how many may start, since the weight store is rate-limited. */
export class LoadTracker {
    private readonly policy: OrderPolicy;
    private loads: OrderedLoad[] = [];
    /** Monotonic time until which each engine that failed to load is given no other load, in milliseconds. */
    private readonly excludedUntil = new Map<string, number>();

    private constructor(policy: OrderPolicy) {
        this.policy = policy;
    }

    /** Creates an instance without loads. */
    static create(policy: OrderPolicy): LoadTracker {
        return new LoadTracker(policy);
    }

    /**
     * Replaces the loads with those that an earlier holder of the lease recorded. Their age is unknown, so they count
     * as new. Their orders are sent again, which is safe because an order states the desired end state.
     */
    restore(loads: readonly RecordedLoad[], now: number): void {
        this.loads = loads.map(load => createLoad(load, load.isSettled, now));
    }

    /** Adds loads whose orders have not been sent yet. */
    add(loads: readonly PlannedLoad[], now: number): void {
        for (const load of loads) {
            this.loads.push(createLoad(load, false, now));
        }
    }

    /** Gets the loads to store for the next holder of the lease. */
    getRecords(): RecordedLoad[] {
        return this.loads.map(({ endpoint, range, isSettled }) => ({ endpoint, range, isSettled }));
    }

    /** Gets the loads that have neither completed nor failed. */
    getPending(): OrderedLoad[] {
        return this.loads.filter(load => !load.isSettled);
    }

    /** Gets the number of loads that may start now. */
    getAvailableSlots(now: number): number {
        const { maximumConcurrentLoads, maximumLoadsPerMinute } = this.policy;
        const recent = this.loads.filter(load => now - load.startedAt < millisecondsPerMinute);
        return Math.max(
            0,
            Math.min(maximumConcurrentLoads - this.getPending().length, maximumLoadsPerMinute - recent.length),
        );
    }

    /** Gets the engines that must not be given a load: those that are loading, and those that failed recently. */
    getExcluded(now: number): Set<string> {
        const excluded = new Set(this.getPending().map(load => load.endpoint));
        for (const [endpoint, until] of this.excludedUntil) {
            if (now < until) {
                excluded.add(endpoint);
            }
            else {
                this.excludedUntil.delete(endpoint);
            }
        }
        return excluded;
    }

    /** Marks a load as failed and excludes its engine from further loads for the retry delay. */
    fail(load: OrderedLoad, now: number): void {
        load.isSettled = true;
        this.excludedUntil.set(load.endpoint, now + this.policy.retryDelayMilliseconds);
    }

    /**
     * Settles the loads that have completed or failed, and removes settled loads that no longer count toward the limit
     * per minute.
     * @param engines - Current state of all engines.
     * @returns The loads that have just ended.
     */
    settle(engines: readonly ObservedEngine[], now: number): LoadEnd[] {
        const ends: LoadEnd[] = [];
        for (const load of this.getPending()) {
            const end = this.getEnd(load, engines.find(engine => engine.endpoint === load.endpoint), now);
            if (end?.failure !== undefined) {
                this.fail(load, now);
            }
            if (end !== undefined) {
                load.isSettled = true;
                ends.push(end);
            }
        }
        this.loads = this.loads.filter(load => !load.isSettled || now - load.startedAt < millisecondsPerMinute);
        return ends;
    }

    private getEnd(load: OrderedLoad, engine: ObservedEngine | undefined, now: number): LoadEnd | undefined {
        if (engine === undefined || !engine.isHolder) {
            return { load, failure: "the engine is gone or leaving" };
        }
        if (countMissingLayers(engine.layers, load.range) === 0) {
            return { load };
        }
        if (now - load.startedAt < this.policy.loadDeadlineMilliseconds) {
            return undefined;
        }
        return load.isConfirmed ? { load } : { load, failure: "the engine did not report the layers in time" };
    }
}

function createLoad({ endpoint, range }: PlannedLoad, isSettled: boolean, now: number): OrderedLoad {
    return { endpoint, range, startedAt: now, isSent: false, isConfirmed: false, isSettled };
}
