import type { RelayStage } from "../chains/relayStage.ts";
import type { RegisteredEndpoint } from "../endpoints/registeredEndpoint.ts";

/** Gets the endpoint that an answer names as faulty, or the first endpoint of the chain if it names none. */
export function getFaultyEndpoint(stages: readonly RelayStage[], address: string | undefined): RegisteredEndpoint {
    return (stages.find(({ endpoint }) => endpoint.address === address) ?? stages[0]!).endpoint;
}
