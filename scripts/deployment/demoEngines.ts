import type { EngineSpecification } from "./engineSpecification.ts";

/** Six engines of different speeds in three data centres; none holds all 24 layers of the model. */
export const demoEngines: readonly EngineSpecification[] = [
    createEngine("engine-1", "centre-a", "large", "0-12", 0.02, true),
    createEngine("engine-2", "centre-b", "large", "12-24", 0.02, true),
    createEngine("engine-3", "centre-a", "medium", "0-8", 0.05, true),
    createEngine("engine-4", "centre-b", "medium", "8-16", 0.05, false),
    createEngine("engine-5", "centre-c", "small", "16-24", 0.1, true),
    createEngine("engine-6", "centre-c", "old", "4-16", 0.15, false),
];

function createEngine(
    name: string,
    dataCentre: string,
    accelerator: string,
    layers: string,
    stepMillisecondsPerLayer: number,
    checksFencing: boolean,
): EngineSpecification {
    return { name, dataCentre, accelerator, layers, stepMillisecondsPerLayer, checksFencing };
}
