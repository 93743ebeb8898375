import type { CheckContext } from "./checkContext.ts";
import { findLostRequests } from "./findLostRequests.ts";
import { harmlessFaultKinds } from "./harmlessFaultKinds.ts";

/**
 * Checks that requests that were sent to an endpoint are answered though it stood still or others refused them as full, unless another
 * fault explains it.
 */
export function checkSilences(context: CheckContext): void {
    for (const { record, text, targets } of findLostRequests(context, harmlessFaultKinds.standsStill)) {
        context.violations.add("silenced", `${text}, while ${targets} stood still.`, record);
    }
}
