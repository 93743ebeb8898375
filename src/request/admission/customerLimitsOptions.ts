import type { Clock } from "../../process/clock.ts";
import type { RandomSource } from "../../process/randomSource.ts";
import type { Configuration } from "../../version/configuration.ts";

/** What `CustomerLimits` works with. */
export interface CustomerLimitsOptions {
    getConfiguration: () => Configuration;
    clock: Clock;
    random: RandomSource;
    /** Number of live nodes, this one among them; by default this one and the peers that report demand. */
    getNodeCount?: () => number;
}
