import type { CheckContext } from "./checkContext.ts";
import { endpointLimitKind } from "./endpointLimitKind.ts";
import type { EndpointRun } from "./endpointRun.ts";
import { RouterFaults } from "./routerFaults.ts";

const { settleMilliseconds } = RouterFaults;
/** Time window in which the rate limit of an endpoint is checked; the check tolerates 1.5 times the limit plus 5 requests. */
const limitWindowMilliseconds = 4_000;
const maximumRequestsPerWindow = 1.5 * endpointLimitKind.requestsPerSecond * limitWindowMilliseconds / 1_000 + 5;

/** Checks that rate-limited endpoints receive no more requests than allowed from nodes without faults. */
export function checkRateLimits(runs: readonly EndpointRun[], { faults, violations, records }: CheckContext): void {
    for (const { target, from, to } of faults.getOfKind(endpointLimitKind.name)) {
        const counted = runs.filter(({ id, endpointId, arrivedAt }) =>
            endpointId.startsWith(`${target}-`) && arrivedAt >= from + settleMilliseconds && arrivedAt <= to
            && !faults.hasFault(["node"], arrivedAt - settleMilliseconds, arrivedAt, records.get(id)?.node ?? "")
        );
        for (const run of counted) {
            const window = counted.filter(({ arrivedAt }) =>
                arrivedAt >= run.arrivedAt && arrivedAt < run.arrivedAt + limitWindowMilliseconds
            );
            if (window.length > maximumRequestsPerWindow) {
                const text =
                    `It is the first of ${window.length} requests in ${limitWindowMilliseconds} ms at a rate-limited endpoint.`;
                violations.addForRun("limit", text, run);
                break;
            }
        }
    }
}
