import type { CallRecord } from "./callRecord.ts";
import type { CallViolations } from "./callViolations.ts";
import type { RouterDeployment } from "./routerDeployment.ts";
import type { RouterFaults } from "./routerFaults.ts";

/** What the checks of requests share. */
export interface CheckContext {
    endpoints: RouterDeployment["endpoints"];
    faults: RouterFaults;
    violations: CallViolations;
    /** Ended requests by id. */
    records: ReadonlyMap<string, CallRecord>;
}
