import type { EngineModel } from "../../../version/routing/engineModel.ts";
import { getActivationBits } from "./getActivationBits.ts";

const kilobitsPerMegabit = 1_000;

/** Gets the time for which the activations of a number of tokens occupy a link between data centres, in milliseconds. */
export function getTransferTime(model: EngineModel, tokens: number): number {
    return getActivationBits(model, tokens) / (model.linkMegabitsPerSecond * kilobitsPerMegabit);
}
