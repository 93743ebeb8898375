import type { Clock } from "../../process/clock.ts";
import type { RandomSource } from "../../process/randomSource.ts";
import type { Configuration } from "../../version/configuration.ts";

/** What `CustomerLimits` works with. */
export interface CustomerLimitsOptions {
    /** Gets the configuration in force. */
    getConfiguration: () => Configuration;
    clock: Clock;
    /** Source of the customers' first credits and of the spread of returns. */
    random: RandomSource;
    /**
     * Number of live nodes, this one among them. Where fewer report their demand, the others are taken to have as
     * much each as those that do; without it only the reported demand counts.
     */
    getNodeCount?: () => number;
}
