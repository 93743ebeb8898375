import type { DeployedStandin } from "../deployment/localDeployment.ts";
import type { FaultContext } from "./faultContext.ts";

/**
 * Reserves an engine for a fault, such that the engines without a fault still hold all layers; undefined if there is none.
 */
export function takeEngine(context: FaultContext): DeployedStandin | undefined {
    const { deployment, taken, random } = context;
    const candidates = deployment.engines.filter(({ name }) => !taken.has(name) && areLayersCovered(context, name));
    const chosen = random.choose(candidates);
    if (chosen !== undefined) {
        taken.add(chosen.name);
    }
    return chosen;
}

/** Reserves a document service for a fault; undefined if this would leave none without a fault. */
export function takeDocument(context: FaultContext): DeployedStandin | undefined {
    const { deployment, taken, random } = context;
    const free = deployment.documents.filter(({ name }) => !taken.has(name));
    const chosen = random.choose(free);
    if (chosen === undefined || free.length < 2) {
        return undefined;
    }
    taken.add(chosen.name);
    return chosen;
}

function areLayersCovered({ deployment, taken }: FaultContext, without: string): boolean {
    const covered = new Set<number>();
    for (const { name, layers } of deployment.getEngineSpecifications()) {
        if (taken.has(name) || name === without) {
            continue;
        }
        const [start, end] = layers.split("-").map(Number);
        for (let layer = start!; layer < end!; layer += 1) {
            covered.add(layer);
        }
    }
    return covered.size === deployment.modelLayers;
}
