import type { ServiceConfiguration } from "../version/configuration.ts";
import { modelGatePrefix } from "./modelGatePrefix.ts";

/**
 * Gets the name of the gate that a service's requests pass. Services of one model share its engines and so their gate.
 * @param name - Name of the service.
 * @param service - The service.
 */
export function getGateName(name: string, service: ServiceConfiguration): string {
    return service.kind === "model" ? `${modelGatePrefix}${service.model}` : name;
}
