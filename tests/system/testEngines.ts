import type { EngineSpecification } from "../../scripts/deployment/engineSpecification.ts";

/** Two stages, each held twice, slow enough that a fault hits in the middle of an answer. */
export const testEngines: readonly EngineSpecification[] = [
    createEngine("first-a", "0-12"),
    createEngine("first-b", "0-12"),
    createEngine("second-a", "12-24"),
    createEngine("second-b", "12-24"),
];

function createEngine(name: string, layers: string): EngineSpecification {
    const dataCentre = "centre-a";
    return { name, dataCentre, accelerator: "medium", layers, stepMillisecondsPerLayer: 0.5, checksFencing: true };
}
