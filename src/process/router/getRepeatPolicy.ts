import type { RetryPolicy } from "../../request/admission/retryPolicy.ts";
import type { RouterSettings } from "./routerSettings.ts";

/**
 * Parts of what all nodes together may repeat in a window beyond the ratio. The loss of one endpoint breaks all requests
 * that pass through it at once, so most of it can be used at once; the rest is earned back over the window. What is left
 * is for nodes that are not known here.
 */
const savedPart = 0.75;
const earnedPart = 0.1;
const ratioPart = 0.75;
const secondMilliseconds = 1_000;

/**
 * Gets one node's part of the repeats that all nodes may send together.
 * @param settings - What all may do together.
 * @param nodeCount - Nodes that may live, this one included.
 */
export function getRepeatPolicy(
    settings: Pick<RouterSettings, "repeatRatio" | "repeatSlack" | "repeatWindowMilliseconds">,
    nodeCount: number,
): RetryPolicy {
    const slack = settings.repeatSlack / nodeCount;
    const windowSeconds = settings.repeatWindowMilliseconds / secondMilliseconds;
    return {
        ratio: settings.repeatRatio * ratioPart,
        perSecond: slack * earnedPart / windowSeconds,
        maximumBalance: Math.max(1, slack * savedPart),
    };
}
