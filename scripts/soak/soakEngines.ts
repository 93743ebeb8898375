import { demoEngines } from "../deployment/demoEngines.ts";
import type { EngineSpecification } from "../deployment/engineSpecification.ts";

/** The engines of the demo and three more, so that all layers stay available if any two engines fail. */
export const soakEngines: readonly EngineSpecification[] = [
    ...demoEngines,
    createEngine("engine-7", "centre-c", "0-12", 0.03),
    createEngine("engine-8", "centre-a", "12-24", 0.03),
    createEngine("engine-9", "centre-b", "6-20", 0.06),
];

function createEngine(
    name: string,
    dataCentre: string,
    layers: string,
    stepMillisecondsPerLayer: number,
): EngineSpecification {
    return { name, dataCentre, accelerator: "medium", layers, stepMillisecondsPerLayer, checksFencing: true };
}
