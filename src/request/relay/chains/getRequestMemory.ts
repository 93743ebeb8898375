import type { AcceleratorKind } from "../../../version/routing/acceleratorKind.ts";
import type { EngineModel } from "../../../version/routing/engineModel.ts";

const bytesPerMegabyte = 1_000_000;

/**
 * Gets the memory of an accelerator that is left for requests beside the model weights, in tokens times layers.
 * @param model - Performance figures of the model.
 * @param kind - Kind of the accelerator.
 * @param layers - Number of layers whose weights it holds.
 */
export function getRequestMemory(model: EngineModel, kind: AcceleratorKind, layers: number): number {
    const freeBytes = (kind.memoryMegabytes - layers * model.layerMegabytes) * bytesPerMegabyte;
    return Math.max(0, freeBytes / (model.bytesPerToken / model.layers));
}
