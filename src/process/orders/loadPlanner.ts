import { events } from "../logging/events.ts";
import type { EngineStatuses } from "./engineStatuses.ts";
import { findShortages } from "./findShortages.ts";
import { LayerCoverage } from "./layerCoverage.ts";
import type { LoadLedger } from "./loadLedger.ts";
import type { ObservedEngine } from "./observedEngine.ts";
import type { OrderDispatcherOptions } from "./orderDispatcherOptions.ts";
import type { PlannedLoad } from "./plannedLoad.ts";
import { planOrders } from "./planOrders.ts";

/** What a planner reads from. */
interface LoadPlannerOptions {
    dispatcher: OrderDispatcherOptions;
    ledger: LoadLedger;
    statuses: EngineStatuses;
    /** Gets the engines as they are now. */
    observe(): ObservedEngine[];
}

/** Plans loads from what engines report just then. */
export class LoadPlanner {
    private readonly options: LoadPlannerOptions;
    private unmetRanges = 0;

    private constructor(options: LoadPlannerOptions) {
        this.options = options;
    }

    /** Creates a planner. */
    static create(options: LoadPlannerOptions): LoadPlanner {
        return new LoadPlanner(options);
    }

    /** Plans as many loads as the budget allows; reads engines only where layers lack holders. */
    async plan(): Promise<PlannedLoad[]> {
        const { dispatcher, ledger, observe } = this.options;
        const { clock, getConfiguration, policy } = dispatcher;
        const slots = ledger.getSlots(clock.getMonotonicTime());
        const shortages = this.countShortages(observe());
        if (slots === 0 || shortages === 0) {
            this.unmetRanges = Math.min(this.unmetRanges, shortages);
            return [];
        }
        const freePositions = await this.readFreePositions();
        const engines = observe();
        const planned = planOrders({
            configuration: getConfiguration(),
            engines,
            freePositions,
            loads: ledger.getPending(),
            excluded: ledger.getExcluded(clock.getMonotonicTime()),
            slots,
            wantedHolders: policy.wantedHolders,
        });
        this.reportUnmet(planned.length < slots ? this.countShortages(engines) - planned.length : 0);
        return planned;
    }

    private countShortages(engines: readonly ObservedEngine[]): number {
        const { dispatcher, ledger } = this.options;
        const configuration = dispatcher.getConfiguration();
        const coverage = LayerCoverage.create(configuration.models, engines, ledger.getPending());
        return findShortages(configuration, coverage, dispatcher.policy.wantedHolders).length;
    }

    private async readFreePositions(): Promise<Map<string, number>> {
        const { dispatcher, ledger, statuses, observe } = this.options;
        const excluded = ledger.getExcluded(dispatcher.clock.getMonotonicTime());
        const names: string[] = [];
        for (const { endpoint, isSteady } of observe()) {
            if (isSteady && !excluded.has(endpoint)) {
                names.push(endpoint);
            }
        }
        return await statuses.readFreePositions(names);
    }

    /** Tells of ranges that no engine can load, once until they are fewer. */
    private reportUnmet(ranges: number): void {
        if (ranges > this.unmetRanges) {
            this.options.dispatcher.log.write(events.layersWithoutEngine, { ranges });
        }
        this.unmetRanges = ranges;
    }
}
