import type { HeldLayers } from "../../request/relay/endpoints/heldLayers.ts";
import type { RegisteredEndpoint } from "../../request/relay/endpoints/registeredEndpoint.ts";
import type { LayerOrderTracker } from "./layerOrderTracker.ts";
import type { PlacementControllerOptions } from "./placementControllerOptions.ts";
import type { PlacementPlans } from "./placementPlans.ts";

type TakeoverReaderOptions = Pick<PlacementControllerOptions, "clock" | "getModelServices" | "getEndpoints"> & {
    plans: PlacementPlans;
    orders: LayerOrderTracker;
};

/** Time within which a new holder reads what its predecessor ordered, before it orders. */
const takeoverReadMilliseconds = 300;
const millisecondsPerSecond = 1_000;

/** Reads what the last holder of the lease has planned and ordered, for a holder that takes over from it. */
export class TakeoverReader {
    private readonly options: TakeoverReaderOptions;

    private constructor(options: TakeoverReaderOptions) {
        this.options = options;
    }

    /** Creates a reader. */
    static create(options: TakeoverReaderOptions): TakeoverReader {
        return new TakeoverReader(options);
    }

    /**
     * Reads the plans and the reports of endpoints that don't hold what is planned, which the last holder may have ordered to load. An
     * order without their sequence numbers would be refused. Ends after a short time also without all answers.
     */
    async read(): Promise<void> {
        const { clock, getModelServices, plans, orders } = this.options;
        const services = getModelServices();
        const readings = services.map(async ({ name, engine }) => {
            if (engine !== undefined) {
                const columns = plans.get(name) ?? [{ layers: { start: 0, end: engine.layers } }];
                const longest = Math.max(...columns.map(({ layers }) => layers.end - layers.start));
                const loadSeconds = longest / engine.layers * engine.loadSeconds;
                await orders.readStates(this.listUnplanned(name), loadSeconds * millisecondsPerSecond);
            }
        });
        const timeout = new Promise<void>(resolve => {
            clock.setTimer(takeoverReadMilliseconds, resolve);
        });
        await Promise.race([Promise.all([plans.refresh(services), ...readings]), timeout]);
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
        const columns = this.options.plans.get(service);
        const isPlanned = (held: HeldLayers) =>
            columns === undefined
            || columns.some(({ layers }) => layers.start <= held.start && held.end <= layers.end);
        return endpoints.filter(({ layers }) => layers === undefined || !isPlanned(layers));
    }
}
