import type { CheckContext } from "./checkContext.ts";
import type { EndpointRun } from "./endpointRun.ts";
import { harmfulBody } from "./harmfulBody.ts";
import { lateHarmfulBody } from "./lateHarmfulBody.ts";
import { RouterFaults } from "./routerFaults.ts";

const { settleMilliseconds } = RouterFaults;
/** Number of crashed endpoints after which a request must no longer be forwarded. */
const maximumCrashes = 3;
/** Forwardings of such a request that are tolerated. */
const maximumRunsAfterCrashes = 3;

/** Checks that nodes stop forwarding a request once it has crashed several endpoints. */
export function checkHarmfulRequests(runs: readonly EndpointRun[], context: CheckContext): void {
    const harmful = runs.filter(({ body }) => body === harmfulBody || body === lateHarmfulBody);
    for (const runsOfRequest of Map.groupBy(harmful, ({ url }) => url).values()) {
        checkHarmfulRequest(runsOfRequest, context);
    }
}

function checkHarmfulRequest(runs: readonly EndpointRun[], { records, faults, violations }: CheckContext): void {
    const byEndpoint = [...Map.groupBy(runs, ({ endpointId }) => endpointId).values()];
    const firstRuns = byEndpoint.map(runsOfEndpoint => runsOfEndpoint[0]!);
    const last = firstRuns.sort((left, right) => left.arrivedAt - right.arrivedAt)[maximumCrashes - 1];
    const late = runs.filter(({ id, arrivedAt }) => {
        const node = records.get(id)?.node ?? "";
        const settledAt = arrivedAt - settleMilliseconds;
        return last !== undefined && settledAt > last.arrivedAt
            && !faults.hasFault(["node", "store"], settledAt, arrivedAt, node);
    });
    if (late.length > maximumRunsAfterCrashes) {
        violations.addForRun(
            "harmful",
            `It was forwarded ${late.length} times after ${maximumCrashes} endpoints crashed.`,
            late.at(-1)!,
        );
    }
}
