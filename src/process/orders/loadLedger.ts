import { countMissingLayers } from "./countMissingLayers.ts";
import type { ObservedEngine } from "./observedEngine.ts";
import type { OrderPolicy } from "./orderPolicy.ts";
import type { PlannedLoad } from "./plannedLoad.ts";
import type { RecordedLoad } from "./recordedLoad.ts";

/** A load that was decided upon within the last minute, or that is under way. */
interface OrderedLoad extends RecordedLoad {
    /** Monotonic time of the decision, or of learning of it, in milliseconds. */
    startedAt: number;
    /** Whether the engine has taken the order. */
    isSent: boolean;
    /** Whether the engine's status has shown the range. */
    isConfirmed: boolean;
}

/** How a load ended. */
interface LoadEnd {
    load: PlannedLoad;
    /** Why it was given up; undefined where the engine holds the range. */
    failure?: string;
}

const millisecondsPerMinute = 60_000;

/** The loads under way, and the budget of loads that keeps to the weight store's limits. */
export class LoadLedger {
    private readonly policy: OrderPolicy;
    private loads: OrderedLoad[] = [];
    /** Until when an engine is given no load, in monotonic milliseconds. */
    private readonly excludedUntil = new Map<string, number>();

    private constructor(policy: OrderPolicy) {
        this.policy = policy;
    }

    /** Creates an empty ledger. */
    static create(policy: OrderPolicy): LoadLedger {
        return new LoadLedger(policy);
    }

    /**
     * Takes over the loads that an earlier holder decided upon. Their age is unknown, so they count as new; the orders are
     * sent again, since they state the wanted end state.
     */
    adopt(loads: readonly RecordedLoad[], now: number): void {
        this.loads = loads.map(load => createLoad(load, load.isSettled, now));
    }

    /** Adds loads, whose orders are not sent yet. */
    add(loads: readonly PlannedLoad[], now: number): void {
        for (const load of loads) {
            this.loads.push(createLoad(load, false, now));
        }
    }

    /** Gets the loads to write down for a successor. */
    getRecords(): RecordedLoad[] {
        return this.loads.map(({ endpoint, range, isSettled }) => ({ endpoint, range, isSettled }));
    }

    /** Gets the loads that are not over. */
    getPending(): OrderedLoad[] {
        return this.loads.filter(load => !load.isSettled);
    }

    /** Gets the number of loads that may start now. */
    getSlots(now: number): number {
        const { maximumLoads, maximumLoadsPerMinute } = this.policy;
        const recent = this.loads.filter(load => now - load.startedAt < millisecondsPerMinute);
        return Math.max(0, Math.min(maximumLoads - this.getPending().length, maximumLoadsPerMinute - recent.length));
    }

    /** Gets the engines that are given no load: those that load already, and those that failed to not long ago. */
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

    /** Gives a load up; its engine is given no other one for a while. */
    giveUp(load: OrderedLoad, now: number): void {
        load.isSettled = true;
        this.excludedUntil.set(load.endpoint, now + this.policy.retryMilliseconds);
    }

    /**
     * Ends the loads that are done or hopeless, and forgets old ones.
     * @param engines - All engines as they are now.
     */
    settle(engines: readonly ObservedEngine[], now: number): LoadEnd[] {
        const ends: LoadEnd[] = [];
        for (const load of this.getPending()) {
            const end = this.findEnd(load, engines.find(engine => engine.endpoint === load.endpoint), now);
            if (end?.failure !== undefined) {
                this.giveUp(load, now);
            }
            if (end !== undefined) {
                load.isSettled = true;
                ends.push(end);
            }
        }
        this.loads = this.loads.filter(load => !load.isSettled || now - load.startedAt < millisecondsPerMinute);
        return ends;
    }

    private findEnd(load: OrderedLoad, engine: ObservedEngine | undefined, now: number): LoadEnd | undefined {
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
