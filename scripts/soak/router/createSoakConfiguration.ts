import { createConfiguration } from "../../../standins/router/createConfiguration.ts";
import { callKinds } from "./callKind.ts";
import { customers } from "./customers.ts";
import { longPathPrefix } from "./longPathPrefix.ts";
import { modelRanks } from "./modelRanks.ts";
import { promptService } from "./promptService.ts";

/**
 * Memory for half of the model's layers, but then for fewer requests than the placement takes for useful, so that a stage holds a quarter
 * and a chain needs four stages.
 */
const engineChanges = { kinds: [{ name: "big", mb: 5_000, pace: 1, read_x: 1 }] };

const longTimeoutMilliseconds = 20_000;

/** A key that every second version withdraws and that no caller uses. */
const spareKey = "key-of-nobody";

/**
 * Creates a configuration with model routes of three ranks, routes of requests that declare the parts of their prompts, and customers of
 * unequal size.
 */
export function createSoakConfiguration(version: number): Record<string, unknown> {
    const spareKeys = version % 2 === 0 ? [spareKey] : [];
    const tenants = customers.map(({ name, apiKey }) => ({
        name,
        api_keys: [apiKey, ...spareKeys.map(key => key + name)],
    }));
    const configuration = createConfiguration(version, { tenants }, engineChanges);
    const routes = configuration["routes"] as { name: string; }[];
    const model = routes.find(({ name }) => name === callKinds.model);
    const once = routes.find(({ name }) => name === callKinds.once);
    const last = { ...model, name: callKinds.last, prefix: `/${callKinds.last}/` };
    const sticky = { service: promptService, sticky: true };
    const prompt = { ...model, ...sticky, name: callKinds.prompt, prefix: `/${callKinds.prompt}/` };
    const long = { ...prompt, name: "long", prefix: longPathPrefix, timeout_ms: longTimeoutMilliseconds };
    const promptOnce = { ...once, ...sticky, name: callKinds.promptOnce, prefix: `/${callKinds.promptOnce}/` };
    const ranked = [...routes, last, prompt, promptOnce, long].map(route => ({
        ...route,
        priority: modelRanks[route.name] ?? 0,
    }));
    return {
        ...configuration,
        routes: ranked,
        services: [...getServices(configuration), createPromptService(version)],
    };
}

/** Creates a service each of whose endpoints has memory for the whole model. */
function createPromptService(version: number): object {
    const model = getServices(createConfiguration(version)).find(({ name }) => name === "model");
    return { ...model, name: promptService };
}

function getServices(configuration: Record<string, unknown>): { name: string; }[] {
    return configuration["services"] as { name: string; }[];
}
