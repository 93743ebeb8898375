import type { EndpointReport } from "../../request/relay/endpointReport.ts";
import { getRequestMemory } from "../../request/relay/getRequestMemory.ts";
import type { HeldLayers } from "../../request/relay/heldLayers.ts";
import type { LayerOrder } from "../../request/relay/layerOrder.ts";
import type { OrderOutcome } from "../../request/relay/orderOutcome.ts";
import type { RegisteredEndpoint } from "../../request/relay/registeredEndpoint.ts";
import type { EngineModel } from "../../version/routing/engineModel.ts";
import type { Clock } from "../clock.ts";
import { InvariantError } from "../invariantError.ts";
import type { EventLog } from "../logging/eventLog.ts";
import { events } from "../logging/events.ts";
import { isSameRange } from "./isSameRange.ts";

/** Options of {@link LayerOrders}. */
interface LayerOrdersOptions {
    clock: Clock;
    log: EventLog;
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

/** An order whose result isn't registered after the time for its load is looked into; loads that share the way take longer. */
const orderGraceMilliseconds = 2_500;
/** An endpoint that is busy with another's order is asked again after this time. */
const busyMilliseconds = 800;
const secondMilliseconds = 1_000;

/**
 * The orders to hold layers that one node has given, until their results are known. Each carries a fencing number and the number
 * of orders that the endpoint has begun, so that one that arrives late does nothing.
 */
export class LayerOrders {
    private readonly options: LayerOrdersOptions;
    private readonly open = new Map<string, OpenOrder>();
    /** Endpoints that are busy with an order of an earlier holder, until when they are left alone. */
    private readonly busyUntil = new Map<string, number>();
    /** Number of orders that each endpoint is known to have begun. */
    private readonly sequences = new Map<string, number>();
    private refusedNumber = 0;

    private constructor(options: LayerOrdersOptions) {
        this.options = options;
    }

    /** Creates a record without orders. */
    static create(options: LayerOrdersOptions): LayerOrders {
        return new LayerOrders(options);
    }

    /** Gets the highest fencing number that an endpoint has refused; orders go on with a higher one only. */
    getRefusedNumber(): number {
        return this.refusedNumber;
    }

    /** Whether any result is still to come. */
    isAnyOpen(): boolean {
        return this.open.size > 0;
    }

    /** Counts the loads that endpoints have begun and whose end their records don't show. */
    countLoading(): number {
        return [...this.open.values()].filter(({ isBegun }) => isBegun).length;
    }

    /** Gets the layers that an endpoint was ordered to hold; undefined where no order is open. */
    getLayers(endpointId: string): HeldLayers | undefined {
        return this.open.get(endpointId)?.layers;
    }

    /** Whether an endpoint takes no order for now. */
    isBusy(endpointId: string, now: number): boolean {
        return this.open.has(endpointId) || (this.busyUntil.get(endpointId) ?? 0) > now;
    }

    /** Forgets the orders given under an earlier fencing number. */
    clear(): void {
        this.open.clear();
    }

    /**
     * Orders an endpoint to hold layers.
     * @throws InvariantError where they leave it no room for requests.
     */
    async send(
        model: EngineModel,
        endpoint: RegisteredEndpoint,
        layers: HeldLayers,
        fencingNumber: number,
    ): Promise<void> {
        const { log, clock, sendOrder } = this.options;
        assertFits(model, endpoint, layers);
        // An endpoint that was ordered by an earlier holder refuses this number, and its report brings the right one.
        const expectedSequence = this.sequences.get(endpoint.id) ?? 0;
        const order = { layers, sentAt: clock.getMonotonicTime(), isBegun: false, isAsking: false };
        this.open.set(endpoint.id, order);
        const sending = sendOrder(endpoint, { layers, fencingNumber, expectedSequence });
        const { start, end } = layers;
        const fields = { endpoint: endpoint.id, start, end, expectedSequence, fencingNumber };
        log.write(events.placementOrdered, fields);
        const outcome = await sending;
        log.write(events.placementOrderEnded, { ...fields, outcome: outcome?.kind ?? "unanswered" });
        if (outcome?.kind === "fenced") {
            this.refusedNumber = Math.max(this.refusedNumber, fencingNumber);
            this.open.delete(endpoint.id);
        }
        else if (outcome?.kind === "begun") {
            order.isBegun = true;
            this.sequences.set(endpoint.id, expectedSequence + 1);
        }
        else if (outcome?.kind !== "done") {
            await this.readBack(endpoint);
        }
    }

    /** Forgets orders whose result the endpoints' records show, and those of endpoints that are gone. */
    close(endpoints: readonly RegisteredEndpoint[]): void {
        const byId = new Map(endpoints.map(endpoint => [endpoint.id, endpoint]));
        for (const [id, { layers }] of this.open) {
            const endpoint = byId.get(id);
            if (endpoint === undefined || isSameRange(endpoint.layers, layers)) {
                this.open.delete(id);
            }
        }
    }

    /** Asks endpoints what became of orders whose results should have been registered by now. */
    inquireLate(model: EngineModel, endpoints: readonly RegisteredEndpoint[]): void {
        const now = this.options.clock.getMonotonicTime();
        for (const endpoint of endpoints) {
            const order = this.open.get(endpoint.id);
            if (order === undefined) {
                continue;
            }
            const part = (order.layers.end - order.layers.start) / model.layers;
            if (now - order.sentAt > part * model.loadSeconds * secondMilliseconds + orderGraceMilliseconds) {
                void this.readBack(endpoint);
            }
        }
    }

    /** Learns what became of an order that was not taken, or whose answer was lost. */
    private async readBack(endpoint: RegisteredEndpoint): Promise<void> {
        const order = this.open.get(endpoint.id);
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
        this.open.delete(endpoint.id);
        if (report.isBusyWithOrder) {
            // It may be another's order that it is busy with, so nothing is known of its layers before it is done.
            this.busyUntil.set(endpoint.id, this.options.clock.getMonotonicTime() + busyMilliseconds);
        }
    }
}

/** Checks that an order leaves the endpoint room for requests; one that doesn't fit would end it. */
function assertFits(model: EngineModel, endpoint: RegisteredEndpoint, { start, end }: HeldLayers): void {
    const kind = model.kinds.get(endpoint.kind ?? "");
    if (kind === undefined || getRequestMemory(model, kind, end - start) <= 0) {
        throw InvariantError.create("orderFits", `Layers ${start}-${end} don't fit ${endpoint.id}.`);
    }
}
