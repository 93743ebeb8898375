import { getRequestMemory } from "../../request/relay/chains/getRequestMemory.ts";
import type { EndpointReport } from "../../request/relay/endpoints/endpointReport.ts";
import type { HeldLayers } from "../../request/relay/endpoints/heldLayers.ts";
import type { LayerOrder } from "../../request/relay/endpoints/layerOrder.ts";
import type { OrderOutcome } from "../../request/relay/endpoints/orderOutcome.ts";
import type { RegisteredEndpoint } from "../../request/relay/endpoints/registeredEndpoint.ts";
import type { EngineModel } from "../../version/routing/engineModel.ts";
import type { Clock } from "../clock.ts";
import { InvariantError } from "../invariantError.ts";
import type { EventLog } from "../logging/eventLog.ts";
import { events } from "../logging/events.ts";
import { isSameRange } from "./isSameRange.ts";

/** Options of {@link LayerOrderTracker}. */
interface LayerOrderTrackerOptions {
    clock: Clock;
    log: EventLog;
    sendOrder(endpoint: RegisteredEndpoint, order: LayerOrder): Promise<OrderOutcome | undefined>;
    fetchReport(endpoint: RegisteredEndpoint): Promise<EndpointReport | undefined>;
}

/** An order that was sent and whose result does not show in the endpoint's registration yet. */
interface PendingOrder {
    layers: HeldLayers;
    /**
     * Monotonic time from which the load time counts, in milliseconds. Reset if the endpoint's report can't be fetched.
     */
    sentAt: number;
    /** Whether the endpoint has confirmed that it began the order. */
    isBegun: boolean;
    /** Whether a request for the endpoint's report is in flight. */
    isFetchingReport: boolean;
}

/**
 * Time beyond the expected load time after which an order is overdue. Loads that share bandwidth take longer than
 * expected.
 */
const overdueMarginMilliseconds = 2_500;
/** Time for which an endpoint that is busy with an unknown order is given no other order. */
const busyBackoffMilliseconds = 800;
const millisecondsPerSecond = 1_000;

/**
 * Sends orders to hold layers and tracks them until their results are known. Each order carries a fencing number and
 * the number of orders that the endpoint has begun, so that an order that arrives late has no effect.
 */
export class LayerOrderTracker {
    private readonly options: LayerOrderTrackerOptions;
    private readonly pending = new Map<string, PendingOrder>();
    /** Monotonic time until which each busy endpoint is given no order, in milliseconds. */
    private readonly busyUntil = new Map<string, number>();
    /** Number of orders that each endpoint has begun, as far as known. */
    private readonly sequences = new Map<string, number>();
    /** Highest fencing number that an endpoint has refused. */
    private refusedFencingNumber = 0;

    private constructor(options: LayerOrderTrackerOptions) {
        this.options = options;
    }

    /** Creates an instance without orders. */
    static create(options: LayerOrderTrackerOptions): LayerOrderTracker {
        return new LayerOrderTracker(options);
    }

    /** Gets the highest fencing number that an endpoint has refused. Only orders with a higher number may be sent. */
    getRefusedFencingNumber(): number {
        return this.refusedFencingNumber;
    }

    /** Checks if any order has no result yet. */
    hasPending(): boolean {
        return this.pending.size > 0;
    }

    /** Counts the loads that endpoints have begun and, as far as known, not completed. */
    countActiveLoads(): number {
        return [...this.pending.values()].filter(({ isBegun }) => isBegun).length;
    }

    /** Gets the layers that an endpoint was ordered to hold; undefined if no order is pending. */
    getOrderedLayers(endpointId: string): HeldLayers | undefined {
        return this.pending.get(endpointId)?.layers;
    }

    /** Checks if an endpoint must not be given an order now. */
    isBusy(endpointId: string, now: number): boolean {
        return this.pending.has(endpointId) || (this.busyUntil.get(endpointId) ?? 0) > now;
    }

    /** Removes all pending orders, which were sent under an earlier fencing number. */
    clear(): void {
        this.pending.clear();
    }

    /**
     * Orders an endpoint to hold layers.
     * @throws InvariantError if the layers leave the endpoint no memory for requests.
     */
    async send(
        model: EngineModel,
        endpoint: RegisteredEndpoint,
        layers: HeldLayers,
        fencingNumber: number,
    ): Promise<void> {
        const { log, clock, sendOrder } = this.options;
        assertFits(model, endpoint, layers);
        // If an earlier lease holder gave the endpoint orders, it refuses 0, and its report contains the right number.
        const expectedSequence = this.sequences.get(endpoint.id) ?? 0;
        const order = { layers, sentAt: clock.getMonotonicTime(), isBegun: false, isFetchingReport: false };
        this.pending.set(endpoint.id, order);
        const outcomePromise = sendOrder(endpoint, { layers, fencingNumber, expectedSequence });
        const { start, end } = layers;
        const fields = { endpoint: endpoint.id, start, end, expectedSequence, fencingNumber };
        log.write(events.placementOrdered, fields);
        const outcome = await outcomePromise;
        log.write(events.placementOrderEnded, { ...fields, outcome: outcome?.kind ?? "unanswered" });
        if (outcome?.kind === "fenced") {
            this.refusedFencingNumber = Math.max(this.refusedFencingNumber, fencingNumber);
            this.pending.delete(endpoint.id);
        }
        else if (outcome?.kind === "begun") {
            order.isBegun = true;
            this.sequences.set(endpoint.id, expectedSequence + 1);
        }
        else if (outcome?.kind !== "done") {
            await this.fetchResult(endpoint);
        }
    }

    /** Removes orders whose layers the endpoints have registered, and orders of endpoints that are gone. */
    removeCompleted(endpoints: readonly RegisteredEndpoint[]): void {
        const byId = new Map(endpoints.map(endpoint => [endpoint.id, endpoint]));
        for (const [id, { layers }] of this.pending) {
            const endpoint = byId.get(id);
            if (endpoint === undefined || isSameRange(endpoint.layers, layers)) {
                this.pending.delete(id);
            }
        }
    }

    /** Fetches the reports of endpoints with overdue orders. */
    checkOverdue(model: EngineModel, endpoints: readonly RegisteredEndpoint[]): void {
        const now = this.options.clock.getMonotonicTime();
        for (const endpoint of endpoints) {
            const order = this.pending.get(endpoint.id);
            if (order === undefined) {
                continue;
            }
            const fraction = (order.layers.end - order.layers.start) / model.layers;
            if (now - order.sentAt > fraction * model.loadSeconds * millisecondsPerSecond + overdueMarginMilliseconds) {
                void this.fetchResult(endpoint);
            }
        }
    }

    /** Fetches the report of an endpoint whose order was refused, unanswered or is overdue, and removes the order. */
    private async fetchResult(endpoint: RegisteredEndpoint): Promise<void> {
        const order = this.pending.get(endpoint.id);
        if (order === undefined || order.isFetchingReport) {
            return;
        }
        order.isFetchingReport = true;
        const report = await this.options.fetchReport(endpoint);
        order.isFetchingReport = false;
        if (report === undefined) {
            order.sentAt = this.options.clock.getMonotonicTime();
            return;
        }
        this.sequences.set(endpoint.id, report.orderSequence);
        this.pending.delete(endpoint.id);
        if (report.isBusyWithOrder) {
            // The order in progress may come from an earlier lease holder, so the endpoint's future layers are unknown.
            this.busyUntil.set(endpoint.id, this.options.clock.getMonotonicTime() + busyBackoffMilliseconds);
        }
    }
}

/**
 * Asserts that an order leaves the endpoint memory for requests. Layers that do not fit would terminate the endpoint.
 */
function assertFits(model: EngineModel, endpoint: RegisteredEndpoint, { start, end }: HeldLayers): void {
    const kind = model.kinds.get(endpoint.kind ?? "");
    if (kind === undefined || getRequestMemory(model, kind, end - start) <= 0) {
        throw InvariantError.create("orderFits", `Layers ${start}-${end} do not fit in the memory of ${endpoint.id}.`);
    }
}
