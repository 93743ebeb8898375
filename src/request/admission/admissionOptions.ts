import type { Clock } from "../../process/clock.ts";
import type { RandomSource } from "../../process/randomSource.ts";
import type { Configuration } from "../../version/configuration.ts";
import type { CustomerLimits } from "./customerLimits.ts";

/** What an `Admission` works with. */
export interface AdmissionOptions {
    /** Gets the configuration in force. */
    getConfiguration: () => Configuration;
    clock: Clock;
    /** Source of the spread of the returns of refused callers. */
    random: RandomSource;
    /** Gets this node's share of what the endpoints behind a gate serve at the same time, in requests. */
    getConcurrencyLimit: (gate: string) => number;
    /** Limits of the customers, shared with the other nodes; without it no rate limit holds. */
    customerLimits?: CustomerLimits;
}
