import type { Configuration, LayerRange } from "../../../src/version/configuration.ts";
import { parseConfiguration } from "../../../src/version/parseConfiguration.ts";

/**
 * Creates a configuration with two models, `large` (12 layers) and `small` (4 layers), and a service for each of them.
 * @param endpoints - Layers that each engine holds, by endpoint name.
 */
export function createTestConfiguration(endpoints: Record<string, LayerRange[]>): Configuration {
    const engines = Object.entries(endpoints).map(([name, layers], index) => [name, {
        kind: "engine",
        address: `127.0.0.1:${7_000 + index}`,
        dataCentre: "one",
        layers,
    }]);
    const service = (model: string) => ({ kind: "model", model });
    const text = {
        models: { large: { layers: 12, hiddenBytes: 8 }, small: { layers: 4, hiddenBytes: 8 } },
        services: { first: service("large"), second: service("small") },
        endpoints: Object.fromEntries(engines),
        dataCentres: { one: { region: "south" } },
    };
    return parseConfiguration(JSON.stringify(text)).unwrap();
}
