import type { CheckContext } from "./checkContext.ts";
import type { EndpointRun } from "./endpointRun.ts";
import { RouterFaults } from "./routerFaults.ts";

const { settleMilliseconds } = RouterFaults;
/** Time after a caller's disconnect from which no request may arrive at an endpoint: the permitted 500 ms plus transit. */
const disconnectToleranceMilliseconds = 700;
const maximumForwardedAfterDisconnect = 3;

/** Checks that nodes rarely forward requests whose callers have disconnected. */
export function checkDisconnects(runs: readonly EndpointRun[], { faults, records, violations }: CheckContext): void {
    const late = runs.filter(({ id, arrivedAt, endpointId }) => {
        const { leftAt, node = "" } = records.get(id) ?? {};
        return leftAt !== undefined && arrivedAt > leftAt + disconnectToleranceMilliseconds
            && !faults.hasFault(["node"], leftAt - settleMilliseconds, arrivedAt, node)
            && !faults.hasEndpointFault(endpointId, leftAt, arrivedAt);
    });
    if (late.length > maximumForwardedAfterDisconnect) {
        violations.addForRun(
            "gone",
            `It is one of ${late.length} requests that arrived after their callers had disconnected.`,
            late.at(-1)!,
        );
    }
}
