import type { EngineModel } from "../../version/routing/engineModel.ts";
import { getCrossingBits } from "./getCrossingBits.ts";

const kilobitsOfMegabit = 1_000;

/** Gets how long one crossing of tokens occupies the pipe between data centres, in milliseconds. */
export function getTransferTime(model: EngineModel, tokens: number): number {
    return getCrossingBits(model, tokens) / (model.pipeMegabits * kilobitsOfMegabit);
}
