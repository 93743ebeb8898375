import type { ServiceConfiguration } from "../version/configuration.ts";
import { modelGatePrefix } from "./modelGatePrefix.ts";

/**
 * Gets the name of the gate that admits the requests of a service. A gate is the concurrency limit and the queue in front of a
 * set of endpoints; services of one model share the model's engines and therefore a gate.
 * @param name - Name of the service.
 * @param service - The service.
 */
export function getGateName(name: string, service: ServiceConfiguration): string {
    return service.kind === "model" ? `${modelGatePrefix}${service.model}` : name;
}
