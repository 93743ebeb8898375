import type { CallRecord } from "./callRecord.ts";
import type { CheckContext } from "./checkContext.ts";
import type { EndpointRun } from "./endpointRun.ts";
import { RouterFaults } from "./routerFaults.ts";
import { startAtDeletionKind } from "./startAtDeletionKind.ts";

const { settleMilliseconds } = RouterFaults;
const drainMilliseconds = 2_000;
const drainSlackMilliseconds = 500;

/** Checks that an endpoint receives no request after its drain period, counted from its draining or the end of its record. */
export function checkDraining(
    run: EndpointRun,
    record: CallRecord,
    { endpoints, faults, violations }: CheckContext,
): void {
    for (const endpoint of endpoints) {
        const since = endpoint.history.getLeavingSince(run.endpointId) ?? endpoint.history.getDeletedAt(run.endpointId);
        if (since === undefined || run.arrivedAt <= since + drainMilliseconds + drainSlackMilliseconds) {
            continue;
        }
        if (
            !faults.hasFault(["node", "store"], since - settleMilliseconds, run.arrivedAt, record.node, [
                startAtDeletionKind,
            ])
        ) {
            violations.addForRun(
                "drain",
                `It arrived ${run.arrivedAt - since} ms after the endpoint started draining or its record was deleted.`,
                run,
                record,
            );
        }
    }
}
