import { events } from "../logging/events.ts";
import type { EngineStatuses } from "./engineStatuses.ts";
import { findShortages } from "./findShortages.ts";
import { LayerCoverage } from "./layerCoverage.ts";
import type { LoadTracker } from "./loadTracker.ts";
import type { ObservedEngine } from "./observedEngine.ts";
import type { OrderDispatcherOptions } from "./orderDispatcherOptions.ts";
import type { PlannedLoad } from "./plannedLoad.ts";
import { planOrders } from "./planOrders.ts";

/** Options of a {@link LoadPlanner}. */
interface LoadPlannerOptions {
    dispatcher: OrderDispatcherOptions;
    loadTracker: LoadTracker;
    statuses: EngineStatuses;
    /** Gets the current state of the engines. */
    observe(): ObservedEngine[];
}

/** Plans loads from the current statuses of engines. */
export class LoadPlanner {
    private readonly options: LoadPlannerOptions;
    /** Number of ranges that no engine can load, as of the last plan. Kept so that only increases are logged. */
    private unplacedRanges = 0;

    private constructor(options: LoadPlannerOptions) {
        this.options = options;
    }

    static create(options: LoadPlannerOptions): LoadPlanner {
        return new LoadPlanner(options);
    }

    /** Plans as many loads as the limits allow. Reads statuses of engines only if layers lack holders. */
    async plan(): Promise<PlannedLoad[]> {
        const { dispatcher, loadTracker, observe } = this.options;
        const { clock, getConfiguration, policy } = dispatcher;
        const slots = loadTracker.getAvailableSlots(clock.getMonotonicTime());
        const shortages = this.countShortages(observe());
        if (slots === 0 || shortages === 0) {
            this.unplacedRanges = Math.min(this.unplacedRanges, shortages);
            return [];
        }
        const freePositions = await this.readFreePositions();
        const engines = observe();
        const planned = planOrders({
            configuration: getConfiguration(),
            engines,
            freePositions,
            loads: loadTracker.getPending(),
            excluded: loadTracker.getExcluded(clock.getMonotonicTime()),
            slots,
            wantedHolders: policy.wantedHolders,
        });
        this.reportUnplaced(planned.length < slots ? this.countShortages(engines) - planned.length : 0);
        return planned;
    }

    private countShortages(engines: readonly ObservedEngine[]): number {
        const { dispatcher, loadTracker } = this.options;
        const configuration = dispatcher.getConfiguration();
        const coverage = LayerCoverage.create(configuration.models, engines, loadTracker.getPending());
        return findShortages(configuration, coverage, dispatcher.policy.wantedHolders).length;
    }

    private async readFreePositions(): Promise<Map<string, number>> {
        const { dispatcher, loadTracker, statuses, observe } = this.options;
        const excluded = loadTracker.getExcluded(dispatcher.clock.getMonotonicTime());
        const names: string[] = [];
        for (const { endpoint, isSteady } of observe()) {
            if (isSteady && !excluded.has(endpoint)) {
                names.push(endpoint);
            }
        }
        return await statuses.readFreePositions(names);
    }

    /** Logs the number of ranges that no engine can load whenever it increases. */
    private reportUnplaced(ranges: number): void {
        if (ranges > this.unplacedRanges) {
            this.options.dispatcher.log.write(events.layersWithoutEngine, { ranges });
        }
        this.unplacedRanges = ranges;
    }
}
