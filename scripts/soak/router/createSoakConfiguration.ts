import { createConfiguration } from "../../../standins/router/createConfiguration.ts";
import { callKinds } from "./callKind.ts";
import { customers } from "./customers.ts";
import { modelRanks } from "./modelRanks.ts";

/**
 * Memory for half of the model's layers, but then for fewer requests than the placement takes for useful, so that a stage holds a quarter
 * and a chain needs four stages.
 */
const engineChanges = { kinds: [{ name: "big", mb: 5_000, pace: 1, read_x: 1 }] };

/** Creates a configuration with model routes of three ranks and customers of unequal size. */
export function createSoakConfiguration(version: number): Record<string, unknown> {
    const tenants = customers.map(({ name, apiKey }) => ({ name, api_keys: [apiKey] }));
    const configuration = createConfiguration(version, { tenants }, engineChanges);
    const routes = configuration["routes"] as { name: string; }[];
    const model = routes.find(({ name }) => name === callKinds.model);
    const last = { ...model, name: callKinds.last, prefix: `/${callKinds.last}/` };
    const ranked = [...routes, last].map(route => ({ ...route, priority: modelRanks[route.name] ?? 0 }));
    return { ...configuration, routes: ranked };
}
