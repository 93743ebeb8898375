import type { EndpointReport } from "../../request/relay/endpoints/endpointReport.ts";
import type { HeldLayers } from "../../request/relay/endpoints/heldLayers.ts";
import type { OrderOutcome } from "../../request/relay/endpoints/orderOutcome.ts";
import { isSameRange } from "./isSameRange.ts";

/** What to do with an order after the endpoint's report was read. */
export const OrderFollowUp = {
    /** The endpoint carries out the order, or has done so and its record doesn't show it yet. */
    Wait: "wait",
    /** The order had the wrong sequence number and is sent again with the reported one. */
    Resend: "resend",
    /** The endpoint carries out another order, or holds layers that its record doesn't show yet. */
    Busy: "busy",
    /** The order had no effect. */
    Rejected: "rejected",
} as const;
export type OrderFollowUp = typeof OrderFollowUp[keyof typeof OrderFollowUp];

/** An order and its outcome. */
interface SentOrder {
    layers: HeldLayers;
    expectedSequence: number;
    /** Layers that the endpoint's record showed when the order was sent. */
    registeredLayers: HeldLayers | undefined;
    /** Outcome of the order; undefined if the endpoint did not answer. */
    outcome: OrderOutcome["kind"] | undefined;
    /** Whether the order was already sent again with a reported sequence number. */
    isResent: boolean;
}

/**
 * Decides what follows from the report of an endpoint that refused an order, did not answer it or is overdue with it. A new lease holder
 * knows no sequence numbers, so its first orders to endpoints with earlier orders are refused.
 */
export function decideOrderFollowUp(order: SentOrder, report: EndpointReport): OrderFollowUp {
    const { layers, expectedSequence, registeredLayers, outcome, isResent } = order;
    const isAccepted = outcome === "begun" || outcome === "done";
    if (report.isBusyWithOrder) {
        const isUnanswered = outcome === undefined;
        const isOwn = isAccepted || isUnanswered && report.orderSequence === expectedSequence + 1;
        return isOwn ? OrderFollowUp.Wait : OrderFollowUp.Busy;
    }
    if (report.layers !== undefined && !isSameRange(registeredLayers, report.layers)) {
        return isSameRange(report.layers, layers) ? OrderFollowUp.Wait : OrderFollowUp.Busy;
    }
    const isMismatch = !isAccepted && report.orderSequence !== expectedSequence;
    return isMismatch && !isResent ? OrderFollowUp.Resend : OrderFollowUp.Rejected;
}
