import type { Clock } from "../../process/clock.ts";
import type { RandomSource } from "../../process/randomSource.ts";
import type { Configuration } from "../../version/configuration.ts";
import type { CustomerLimits } from "./customerLimits.ts";

/** Options of `Admission`. */
export interface AdmissionOptions {
    /** Gets the configuration in force. */
    getConfiguration: () => Configuration;
    clock: Clock;
    /** Source of the jitter of the retry delays. */
    random: RandomSource;
    /** Gets this node's share of the concurrency of the endpoints behind a gate, in requests. */
    getConcurrencyLimit: (gate: string) => number;
    /** Rate limits of the customers, shared with the other nodes; if undefined, no rate limit applies. */
    customerLimits?: CustomerLimits;
}
