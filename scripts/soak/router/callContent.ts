import type { CallRecord } from "./callRecord.ts";
import type { Customer } from "./customers.ts";

/** The content of a request. */
export interface CallContent extends
    Pick<
        CallRecord,
        "id" | "kind" | "method" | "path" | "body" | "role" | "patienceMilliseconds" | "aheadId"
    > {
    /** Chosen at random if undefined. */
    customer?: Customer;
}
