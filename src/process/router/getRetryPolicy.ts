import type { RetryPolicy } from "../../request/admission/retryPolicy.ts";
import type { RouterSettings } from "./routerSettings.ts";

/**
 * Shares of the retries that all nodes together may send in a window beyond the ratio. The loss of one endpoint breaks all
 * requests that pass through it at once, so most of the retries are available as a burst; some are refilled over the window.
 * The remainder is for nodes that are unknown here.
 */
const burstShare = 0.75;
const refillShare = 0.1;
const ratioShare = 0.75;
const secondMilliseconds = 1_000;

/**
 * Gets one node's share of the retries that all nodes together may send.
 * @param settings - Limits for all nodes together.
 * @param nodeCount - Number of nodes that may be alive, including this one.
 */
export function getRetryPolicy(
    settings: Pick<RouterSettings, "repeatRatio" | "repeatSlack" | "repeatWindowMilliseconds">,
    nodeCount: number,
): RetryPolicy {
    const slack = settings.repeatSlack / nodeCount;
    const windowSeconds = settings.repeatWindowMilliseconds / secondMilliseconds;
    return {
        ratio: settings.repeatRatio * ratioShare,
        perSecond: slack * refillShare / windowSeconds,
        maximumBalance: Math.max(1, slack * burstShare),
    };
}
