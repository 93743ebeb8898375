import type { Clock } from "../../process/clock.ts";
import type { RandomSource } from "../../process/randomSource.ts";
import type { Configuration } from "../../version/configuration.ts";

/** Options of `CustomerLimits`. */
export interface CustomerLimitsOptions {
    /** Gets the configuration in force. */
    getConfiguration: () => Configuration;
    clock: Clock;
    /** Source of the customers' initial credits and of the jitter of retry delays. */
    random: RandomSource;
    /**
     * Gets the number of live nodes, including this one. Nodes that report no demand are assumed to have the mean demand of
     * the reporting ones. If undefined, only the reported demand counts.
     */
    getNodeCount?: () => number;
}
