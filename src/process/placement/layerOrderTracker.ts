import type { EndpointReport } from "../../request/relay/endpoints/endpointReport.ts";
import type { HeldLayers } from "../../request/relay/endpoints/heldLayers.ts";
import type { LayerOrder } from "../../request/relay/endpoints/layerOrder.ts";
import type { OrderOutcome } from "../../request/relay/endpoints/orderOutcome.ts";
import type { RegisteredEndpoint } from "../../request/relay/endpoints/registeredEndpoint.ts";
import type { EngineModel } from "../../version/routing/engineModel.ts";
import type { Clock } from "../clock.ts";
import type { EventLog } from "../logging/eventLog.ts";
import { events } from "../logging/events.ts";
import { assertOrderFits } from "./assertOrderFits.ts";
import { decideOrderFollowUp, OrderFollowUp } from "./decideOrderFollowUp.ts";
import { EndpointBlocks } from "./endpointBlocks.ts";
import { isSameRange } from "./isSameRange.ts";

/** Options of {@link LayerOrderTracker}. */
interface LayerOrderTrackerOptions {
    clock: Clock;
    log: EventLog;
    sendOrder(endpoint: RegisteredEndpoint, order: LayerOrder): Promise<OrderOutcome | undefined>;
    fetchReport(endpoint: RegisteredEndpoint): Promise<EndpointReport | undefined>;
    /** Checks if orders with this fencing number may be sent now. */
    mayOrder(fencingNumber: number): boolean;
    /** Called when the result of an order is known, so that another one may be due. */
    onResult(): void;
}

/** An order that was sent and whose result does not show in the endpoint's registration yet. */
interface PendingOrder {
    endpoint: RegisteredEndpoint;
    layers: HeldLayers;
    fencingNumber: number;
    expectedSequence: number;
    loadMilliseconds: number;
    /** Outcome of the order; undefined if the endpoint has not answered. */
    outcome: OrderOutcome["kind"] | undefined;
    /** Whether the order was sent again with the sequence number that the endpoint reported. */
    isResent: boolean;
    /** Whether the endpoint has begun the order, as far as known. */
    isBegun: boolean;
    /** Monotonic time in milliseconds from which the order is overdue, and the endpoint's report is fetched. */
    dueAt: number;
    /** Number of times that the report was not answered. */
    unansweredReports: number;
    /** Whether a request for the endpoint's report is in flight. */
    isFetchingReport: boolean;
}

/**
 * Time beyond the expected load time after which an order is overdue. Loads that share bandwidth take longer than
 * expected.
 */
const overdueMarginMilliseconds = 2_500;
/**
 * Delay before an endpoint that refused an order is given another one. It doubles with each refusal up to the maximum, since an endpoint
 * that refuses all orders was ordered again at each check.
 */
const initialRetryMilliseconds = 500;
const maximumRetryMilliseconds = 8_000;
/** An endpoint that doesn't answer this many requests for its report doesn't count as holding the ordered layers any more. */
const maximumUnansweredReports = 2;
/** Time within which the record of an endpoint shows the layers that its report does. */
const recordDelayMilliseconds = 1_500;
const millisecondsPerSecond = 1_000;

/**
 * Sends orders to hold layers and tracks them until their results are known. Each order carries a fencing number and
 * the number of orders that the endpoint has begun, so that an order that arrives late has no effect.
 */
export class LayerOrderTracker {
    private readonly options: LayerOrderTrackerOptions;
    private readonly pending = new Map<string, PendingOrder>();
    private readonly blocks = EndpointBlocks.create();
    /** Number of orders that each endpoint has begun, as far as known. */
    private readonly sequences = new Map<string, number>();
    /** Number of consecutive orders that each endpoint has refused. */
    private readonly refusals = new Map<string, number>();
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

    /**
     * Counts the loads of a service that run or are expected to: those that endpoints have begun and not completed as far as known, under
     * this or an earlier holder, and those of orders that were not answered yet.
     */
    countActiveLoads(service: string, now: number): number {
        let loads = 0;
        for (const { endpoint, isBegun, outcome, unansweredReports } of this.pending.values()) {
            const isSent = outcome === undefined && unansweredReports === 0;
            loads += endpoint.service === service && (isBegun || isSent) ? 1 : 0;
        }
        return loads + this.blocks.countLoading(service, now);
    }

    /** Gets the layers that an endpoint was ordered to hold; undefined if no order is pending. */
    getOrderedLayers(endpointId: string): HeldLayers | undefined {
        return this.pending.get(endpointId)?.layers;
    }

    /** Checks if an endpoint must not be given an order now. */
    isBusy(endpoint: RegisteredEndpoint, now: number): boolean {
        return this.pending.has(endpoint.id) || this.blocks.isBlocked(endpoint, now);
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
        assertOrderFits(model, endpoint, layers);
        const loadMilliseconds = (layers.end - layers.start) / model.layers * model.loadSeconds * millisecondsPerSecond;
        const order = {
            endpoint,
            layers,
            fencingNumber,
            // If an earlier lease holder gave the endpoint orders, it refuses 0, and its report contains the right number.
            expectedSequence: this.sequences.get(endpoint.id) ?? 0,
            loadMilliseconds,
            outcome: undefined,
            isResent: false,
            isBegun: false,
            dueAt: this.options.clock.getMonotonicTime() + loadMilliseconds + overdueMarginMilliseconds,
            unansweredReports: 0,
            isFetchingReport: false,
        };
        this.pending.set(endpoint.id, order);
        await this.sendPending(order);
    }

    /** Removes orders whose layers the endpoints of a service have registered, and orders of endpoints that are gone. */
    removeCompleted(service: string, endpoints: readonly RegisteredEndpoint[]): void {
        const byId = new Map(endpoints.map(endpoint => [endpoint.id, endpoint]));
        this.blocks.removeEnded(service, byId, this.options.clock.getMonotonicTime());
        for (const [id, { layers, endpoint }] of this.pending) {
            const current = byId.get(id);
            if (endpoint.service === service && (current === undefined || isSameRange(current.layers, layers))) {
                this.pending.delete(id);
            }
        }
    }

    /** Fetches the reports of endpoints with overdue orders. */
    checkOverdue(): void {
        const now = this.options.clock.getMonotonicTime();
        for (const order of this.pending.values()) {
            if (now > order.dueAt) {
                void this.resolve(order);
            }
        }
    }

    /** Gets the monotonic time in milliseconds at which an order is overdue or an endpoint may be given one again; undefined if none is. */
    getNextDueAt(now: number): number | undefined {
        const times = [...this.pending.values()].map(({ dueAt }) => dueAt);
        const next = Math.min(...[...times, ...this.blocks.getEndTimes()].filter(time => time > now));
        return next === Infinity ? undefined : next;
    }

    /**
     * Reads from their reports which orders endpoints have begun under earlier fencing numbers, so that none is ordered twice.
     * @param loadMilliseconds - Longest time that such an order takes.
     */
    async readStates(endpoints: readonly RegisteredEndpoint[], loadMilliseconds: number): Promise<void> {
        const { clock, fetchReport } = this.options;
        await Promise.all(endpoints.map(async endpoint => {
            const report = await fetchReport(endpoint);
            if (report === undefined || this.pending.has(endpoint.id)) {
                return;
            }
            this.sequences.set(endpoint.id, report.orderSequence);
            const now = clock.getMonotonicTime();
            if (report.isBusyWithOrder) {
                this.blocks.add(endpoint, now + loadMilliseconds, true);
            }
            else if (report.layers !== undefined && !isSameRange(endpoint.layers, report.layers)) {
                this.blocks.add(endpoint, now + recordDelayMilliseconds, false);
            }
        }));
    }

    private async sendPending(order: PendingOrder): Promise<void> {
        const { log, sendOrder } = this.options;
        const { endpoint, layers, fencingNumber, expectedSequence } = order;
        const outcomePromise = sendOrder(endpoint, { layers, fencingNumber, expectedSequence });
        const fields = { endpoint: endpoint.id, start: layers.start, end: layers.end, expectedSequence, fencingNumber };
        log.write(events.placementOrdered, fields);
        order.outcome = (await outcomePromise)?.kind;
        log.write(events.placementOrderEnded, { ...fields, outcome: order.outcome ?? "unanswered" });
        if (order.outcome === "fenced") {
            this.refusedFencingNumber = Math.max(this.refusedFencingNumber, fencingNumber);
            this.remove(order);
        }
        else if (order.outcome === "begun") {
            this.handleBegun(order);
        }
        else if (order.outcome !== "done") {
            await this.resolve(order);
        }
        this.options.onResult();
    }

    private handleBegun(order: PendingOrder): void {
        const { endpoint, expectedSequence } = order;
        order.isBegun = true;
        this.sequences.set(endpoint.id, expectedSequence + 1);
        this.refusals.delete(endpoint.id);
    }

    /** Fetches the report of an endpoint whose order was refused, unanswered or is overdue, and acts on it. */
    private async resolve(order: PendingOrder): Promise<void> {
        const { clock, fetchReport, mayOrder } = this.options;
        const { endpoint, layers, expectedSequence, outcome, isResent } = order;
        if (order.isFetchingReport) {
            return;
        }
        order.isFetchingReport = true;
        const report = await fetchReport(endpoint);
        order.isFetchingReport = false;
        const now = clock.getMonotonicTime();
        if (report !== undefined) {
            this.sequences.set(endpoint.id, report.orderSequence);
        }
        if (this.pending.get(endpoint.id) !== order) {
            return;
        }
        if (report === undefined) {
            order.unansweredReports += 1;
            order.dueAt = now + getRetryDelay(order.unansweredReports);
            const isRefused = outcome !== undefined && !order.isBegun;
            if (isRefused || order.unansweredReports >= maximumUnansweredReports) {
                this.reject(order);
            }
            return;
        }
        const sent = { layers, expectedSequence, registeredLayers: endpoint.layers, outcome, isResent };
        const followUp = decideOrderFollowUp(sent, report);
        if (followUp === OrderFollowUp.Wait) {
            if (report.isBusyWithOrder) {
                this.handleBegun(order);
            }
            order.dueAt = now + order.loadMilliseconds + overdueMarginMilliseconds;
        }
        else if (followUp === OrderFollowUp.Resend && mayOrder(order.fencingNumber)) {
            order.expectedSequence = report.orderSequence;
            order.isResent = true;
            await this.sendPending(order);
        }
        else if (followUp === OrderFollowUp.Busy) {
            // The other order's layers are unknown, and its load takes about as long as that of this one.
            this.block(order, order.loadMilliseconds, report.isBusyWithOrder);
        }
        else {
            this.reject(order);
        }
    }

    private reject(order: PendingOrder): void {
        const refusals = (this.refusals.get(order.endpoint.id) ?? 0) + 1;
        this.refusals.set(order.endpoint.id, refusals);
        this.block(order, getRetryDelay(refusals), false);
    }

    /** Removes an order and gives the endpoint no other one for some time. */
    private block(order: PendingOrder, milliseconds: number, isLoading: boolean): void {
        this.blocks.add(order.endpoint, this.options.clock.getMonotonicTime() + milliseconds, isLoading);
        this.remove(order);
    }

    private remove(order: PendingOrder): void {
        if (this.pending.get(order.endpoint.id) === order) {
            this.pending.delete(order.endpoint.id);
        }
    }
}

function getRetryDelay(failures: number): number {
    return Math.min(maximumRetryMilliseconds, initialRetryMilliseconds * 2 ** Math.max(0, failures - 1));
}
