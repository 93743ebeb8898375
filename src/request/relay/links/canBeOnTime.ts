import { getContendedQueueTime } from "./getContendedQueueTime.ts";
import { getTransferTime } from "./getTransferTime.ts";
import type { LinkCrossingQuery } from "./linkCrossingQuery.ts";

/**
 * Checks if a typical request can be on time over a contended link. If none can, requests are only paced.
 *
 * It is designed for first events that became slow before a loss. Their usual time is measured at chains that use no link, of which there
 * are none while no data centre is complete, so that no stream would be begun until then.
 * @param query - The request, of which only the model and the objective count.
 * @param usualFirstEventMilliseconds - Usual time to a first event of chains that use no link.
 */
export function canBeOnTime(
    { model, objectiveMilliseconds }: Pick<LinkCrossingQuery, "model" | "objectiveMilliseconds">,
    usualFirstEventMilliseconds: number,
): boolean {
    const transfer = getTransferTime(model, model.typicalPromptTokens);
    return usualFirstEventMilliseconds + transfer + getContendedQueueTime(model) <= objectiveMilliseconds;
}
