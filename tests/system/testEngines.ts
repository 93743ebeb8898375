import type { EngineSpecification } from "../../scripts/deployment/engineSpecification.ts";

/** Two engines for each of two stages, slow enough to inject a fault in the middle of a response. */
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
