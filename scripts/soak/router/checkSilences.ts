import type { CallRecord } from "./callRecord.ts";
import type { CheckContext } from "./checkContext.ts";
import { endpointStandsStillKind } from "./endpointStandsStillKind.ts";
import { RouterFaults } from "./routerFaults.ts";
import type { SoakEndpoint } from "./soakEndpoint.ts";

const { settleMilliseconds } = RouterFaults;
/** Time after a fault of an endpoint within which it may still end requests that are sent there. */
const endpointSettleMilliseconds = 1_000;
const timeoutMilliseconds = 3_000;
const okStatus = 200;
const notRunStatuses = [408, 421, 429, 503];
/** Faults of a node that end its requests or part it from the endpoints, by the prefixes of their kinds. */
const nodeFaultPrefixes = ["nodeKill", "nodeStopAtStart", "nodeStartAtDeletion", "nodeFreeze", "nodeLinks"];

/** Checks that requests that were sent to an endpoint are answered though it stood still, unless another fault explains it. */
export function checkSilences({ endpoints, faults, records, violations }: CheckContext): void {
    const silences = faults.getOfKind(endpointStandsStillKind);
    for (const record of records.values()) {
        if (silences.length === 0 || isAnswered(record) || record.endedAt - record.sentAt >= timeoutMilliseconds) {
            continue;
        }
        const { id, node, sentAt, endedAt, status, reason } = record;
        const receivers = endpoints.filter(endpoint => endpoint.hasReceived(id));
        const services = receivers.filter(endpoint => endpoint.isStage()).map(endpoint => endpoint.getService());
        // The stages of a chain are not known here, so that any stage of the service may be one of them.
        const involved = endpoints.filter(each => receivers.includes(each) || services.includes(each.getService()));
        const during = silences.filter(({ from, to, target }) =>
            from <= endedAt && to >= sentAt && involved.some(({ name }) => name === target)
        );
        const isExplained = faults.hasFault(nodeFaultPrefixes, sentAt - settleMilliseconds, endedAt, node)
            || involved.some(endpoint => hasOtherFault(faults, endpoint, record));
        if (during.length > 0 && !isExplained) {
            const names = during.map(({ target }) => target).join(", ");
            const text =
                `It ended after ${endedAt - sentAt} ms with ${status || "no status"} (${
                    reason || "complete"
                }), sent to `
                + `${receivers.map(({ name }) => name).join(", ")}, while ${names} stood still.`;
            violations.add("silenced", text, record);
        }
    }
}

/** Gets if a request needs no answer, or has one, or was refused with the guarantee that it has not run. */
function isAnswered({ leftAt, isComplete, status }: CallRecord): boolean {
    return leftAt !== undefined || isComplete && (status === okStatus || notRunStatuses.includes(status));
}

function hasOtherFault(faults: RouterFaults, endpoint: SoakEndpoint, { sentAt, endedAt }: CallRecord): boolean {
    const from = sentAt - endpointSettleMilliseconds;
    return endpoint.hasChanged(from, endedAt) || faults.hasOtherEndpointFault(endpoint.name, from, endedAt);
}
