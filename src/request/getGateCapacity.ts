import type { EndpointState } from "../connection/endpoint/endpointState.ts";
import type { Configuration } from "../version/configuration.ts";
import { modelGatePrefix } from "./modelGatePrefix.ts";

/** Gets the last known state of an endpoint; undefined if unknown. */
type GetEndpointState = (endpoint: string) => EndpointState | undefined;

/**
 * Gets the concurrency of a gate over all nodes, in requests.
 * @param configuration - The configuration in force.
 * @param gate - Name of the gate, see `getGateName`.
 */
export function getGateCapacity(
    configuration: Configuration,
    gate: string,
    getEndpointState: GetEndpointState,
): number {
    if (gate.startsWith(modelGatePrefix)) {
        return getModelCapacity(configuration, gate.slice(modelGatePrefix.length), getEndpointState);
    }
    const service = configuration.services[gate];
    if (service?.kind !== "document") {
        return 0;
    }
    let capacity = 0;
    for (const endpoint of service.endpoints) {
        if (getEndpointState(endpoint)?.state === "serving") {
            capacity += configuration.endpoints[endpoint]?.maximumSequences ?? 0;
        }
    }
    return capacity;
}

/** Gets the capacity of the layer with the least capacity, since each sequence occupies every layer. */
function getModelCapacity(configuration: Configuration, model: string, getEndpointState: GetEndpointState): number {
    const layers = configuration.models[model]?.layers ?? 0;
    const layerCapacities = new Array<number>(layers).fill(0);
    for (const [name, endpoint] of Object.entries(configuration.endpoints)) {
        const state = getEndpointState(name);
        if (state?.state === "serving") {
            addLayerCapacities(layerCapacities, state, model, endpoint.maximumSequences);
        }
    }
    return layers === 0 ? 0 : Math.min(...layerCapacities);
}

function addLayerCapacities(
    layerCapacities: number[],
    state: EndpointState,
    model: string,
    maximumSequences: number,
): void {
    for (const range of state.layers) {
        if (range.model !== model) {
            continue;
        }
        for (let layer = range.start; layer < Math.min(range.end, layerCapacities.length); layer += 1) {
            layerCapacities[layer] = (layerCapacities[layer] ?? 0) + maximumSequences;
        }
    }
}
