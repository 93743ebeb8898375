import type { EndpointState } from "../connection/endpoint/endpointState.ts";
import type { Configuration } from "../version/configuration.ts";
import { modelGatePrefix } from "./modelGatePrefix.ts";

/** Gets what is believed of an endpoint. */
type GetEndpointState = (endpoint: string) => EndpointState | undefined;

/**
 * Gets how many requests pass a gate at the same time, over all nodes.
 * @param configuration - The configuration in force.
 * @param gate - Name of the gate, see `getGateName`.
 * @param getEndpointState - Gets what is believed of an endpoint.
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

/** The layer with the fewest places decides, since each sequence holds a place at every layer. */
function getModelCapacity(configuration: Configuration, model: string, getEndpointState: GetEndpointState): number {
    const layers = configuration.models[model]?.layers ?? 0;
    const places = new Array<number>(layers).fill(0);
    for (const [name, endpoint] of Object.entries(configuration.endpoints)) {
        const state = getEndpointState(name);
        if (state?.state === "serving") {
            addPlaces(places, state, model, endpoint.maximumSequences);
        }
    }
    return layers === 0 ? 0 : Math.min(...places);
}

function addPlaces(places: number[], state: EndpointState, model: string, maximumSequences: number): void {
    for (const range of state.layers) {
        if (range.model !== model) {
            continue;
        }
        for (let layer = range.start; layer < Math.min(range.end, places.length); layer += 1) {
            places[layer] = (places[layer] ?? 0) + maximumSequences;
        }
    }
}
