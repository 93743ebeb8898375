import type { EngineModel } from "../../../version/routing/engineModel.ts";
import { getTransferTime } from "./getTransferTime.ts";

/** Typical prompts that are expected to be ahead at a link of which the nodes use as much as they may. */
const contendedQueueLength = 2;

/** Gets the time for which a prompt is expected to queue at least at a contended link, in milliseconds. */
export function getContendedQueueTime(model: EngineModel): number {
    return contendedQueueLength * getTransferTime(model, model.typicalPromptTokens);
}
