import type { AcceleratorKind } from "../../version/routing/acceleratorKind.ts";
import type { EngineModel } from "../../version/routing/engineModel.ts";

const bytesOfMegabyte = 1_000_000;

/**
 * Gets the memory that an accelerator has for requests beside the weights that it holds, in tokens times layers.
 * @param model - Figures of the model.
 * @param kind - Kind of the accelerator.
 * @param layers - Number of layers whose weights it holds.
 */
export function getRequestMemory(model: EngineModel, kind: AcceleratorKind, layers: number): number {
    const freeBytes = (kind.memoryMegabytes - layers * model.layerMegabytes) * bytesOfMegabyte;
    return Math.max(0, freeBytes / (model.tokenBytes / model.layers));
}
