import { callKinds } from "./callKind.ts";
import type { CallRecord } from "./callRecord.ts";
import type { CheckContext } from "./checkContext.ts";
import { endingNodeFaults } from "./endingNodeFaults.ts";
import { harmlessFaultKinds } from "./harmlessFaultKinds.ts";
import { isUnanswered } from "./isUnanswered.ts";
import { RouterFaults } from "./routerFaults.ts";
import type { SoakEndpoint } from "./soakEndpoint.ts";

/** A request that was lost, and what is said about it. */
interface LostRequest {
    record: CallRecord;
    /** How it ended, and where it was sent. */
    text: string;
    /** Names of the endpoints at which the fault was. */
    targets: string;
}

const { settleMilliseconds } = RouterFaults;
/** Time after a fault of an endpoint within which it may still end requests that are sent there. */
const endpointSettleMilliseconds = 1_000;
const timeoutMilliseconds = 3_000;
const resumableKinds: readonly CallRecord["kind"][] = [callKinds.model, callKinds.last, callKinds.prompt];

/**
 * Finds the requests that were sent to an endpoint and lost before their timeout, during a fault that ends no request. Requests that another
 * fault explains are left out.
 * @param isLost - Gets if a request has no answer though it needs one.
 */
export function findLostRequests(
    { endpoints, faults, records }: CheckContext,
    faultKind: string,
    isLost: (record: CallRecord) => boolean = isUnanswered,
): LostRequest[] {
    const harmless = faults.getOfKind(faultKind);
    const lost: LostRequest[] = [];
    for (const record of records.values()) {
        if (harmless.length === 0 || !isLost(record) || record.endedAt - record.sentAt >= timeoutMilliseconds) {
            continue;
        }
        const { id, node, sentAt, endedAt, status, reason, aheadId = "" } = record;
        if (records.get(aheadId)?.isComplete === false) {
            continue;
        }
        const receivers = endpoints.filter(endpoint => endpoint.history.hasReceived(id));
        const services = receivers.filter(endpoint => endpoint.isStage()).map(endpoint => endpoint.getService());
        // The stages of a chain are not known here, so that any stage of the service may be one of them.
        const involved = endpoints.filter(each => receivers.includes(each) || services.includes(each.getService()));
        const during = harmless.filter(({ from, to, target }) =>
            from <= endedAt && to >= sentAt && involved.some(({ name }) => name === target)
        );
        const isExplained = faults.hasFault(endingNodeFaults, sentAt - settleMilliseconds, endedAt, node)
            || involved.some(endpoint => hasOtherFault(faults, endpoint, record));
        if (during.length > 0 && !isExplained) {
            const targets = during.map(({ target }) => target).join(", ");
            const end = `${status || "no status"} (${reason || "complete"})`;
            const places = receivers.map(({ name }) => name).join(", ");
            lost.push({
                record,
                text: `It ended after ${endedAt - sentAt} ms with ${end}, sent to ${places}`,
                targets,
            });
        }
    }
    return lost;
}

function hasOtherFault(faults: RouterFaults, endpoint: SoakEndpoint, { kind, sentAt, endedAt }: CallRecord): boolean {
    const from = sentAt - endpointSettleMilliseconds;
    const continuesElsewhere = resumableKinds.includes(kind)
        && faults.hasFaultAt(harmlessFaultKinds.replaced, endpoint.name, from, endedAt);
    return endpoint.history.hasChanged(from, endedAt) && !continuesElsewhere
        || faults.hasOtherEndpointFault(endpoint.name, from, endedAt);
}
