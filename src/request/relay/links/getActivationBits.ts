import type { EngineModel } from "../../../version/routing/engineModel.ts";

const bitsPerByte = 8;

/** Gets the size in bits of the activations that are sent over a link between data centres for a number of tokens. */
export function getActivationBits(model: EngineModel, tokens: number): number {
    return tokens * model.activationBytesPerToken * bitsPerByte;
}
