import type { EngineModel } from "../../version/routing/engineModel.ts";

const bitsOfByte = 8;

/** Gets the bits of activations that tokens move over one crossing between data centres. */
export function getCrossingBits(model: EngineModel, tokens: number): number {
    return tokens * model.activationBytes * bitsOfByte;
}
