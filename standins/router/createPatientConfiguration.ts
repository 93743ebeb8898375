import { createConfiguration } from "./createConfiguration.ts";

/** Long, so that no test depends on the speed of the machine. */
const routeTimeoutMilliseconds = 60_000;

/**
 * Creates a configuration in the format of the platform whose routes have long timeouts.
 * @param changes - Overrides of the other members of the configuration.
 */
export function createPatientConfiguration(version: number, changes: object = {}): Record<string, unknown> {
    const { routes } = createConfiguration(version) as { routes: object[]; };
    const patientRoutes = routes.map(route => ({ ...route, timeout_ms: routeTimeoutMilliseconds }));
    return createConfiguration(version, { ...changes, routes: patientRoutes });
}
