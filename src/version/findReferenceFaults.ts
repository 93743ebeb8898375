import type { ValueFault } from "../process/jsonc/valueFault.ts";

type Entry = Record<string, unknown>;

/**
 * Finds references to undefined names, invalid layer ranges, and duplicates of values that must be unique. It checks the value before
 * schema validation, so that these errors are reported together with schema errors; parts that do not match the schema are skipped.
 * @param value - Parsed text, which may not match the schema.
 */
export function findReferenceFaults(value: unknown): ValueFault[] {
    const configuration = isEntry(value) ? value : {};
    return [
        ...checkServices(configuration),
        ...checkEndpoints(configuration),
        ...checkLinks(configuration),
        ...checkKeyHashes(configuration),
    ];
}

function* checkServices(configuration: Entry): Generator<ValueFault> {
    const endpoints = isEntry(configuration.endpoints) ? configuration.endpoints : {};
    for (const [name, service] of listEntries(configuration.services)) {
        const path = ["services", name];
        if (service.kind === "model") {
            yield* checkName(service.model, configuration.models, [...path, "model"], "models");
        }
        for (const [index, endpointName] of listItems(service.endpoints).entries()) {
            const itemPath = [...path, "endpoints", index];
            yield* checkName(endpointName, endpoints, itemPath, "endpoints");
            const endpoint = endpoints[String(endpointName)];
            if (isEntry(endpoint) && endpoint.kind === "engine") {
                const message =
                    `The endpoint "${endpointName}" is an engine. Use endpoints of the kind "document" here.`;
                yield { path: itemPath, message };
            }
        }
    }
}

function* checkEndpoints(configuration: Entry): Generator<ValueFault> {
    for (const [name, endpoint] of listEntries(configuration.endpoints)) {
        const path = ["endpoints", name];
        yield* checkName(endpoint.dataCentre, configuration.dataCentres, [...path, "dataCentre"], "dataCentres");
        const layers = listItems(endpoint.layers);
        if (endpoint.kind === "document" && layers.length > 0) {
            yield { path: [...path, "layers"], message: "A document endpoint has no layers. Remove this list." };
        }
        for (const [index, range] of layers.entries()) {
            if (isEntry(range)) {
                yield* checkLayerRange(range, configuration.models, [...path, "layers", index]);
            }
        }
    }
}

function* checkLayerRange(range: Entry, models: unknown, path: (string | number)[]): Generator<ValueFault> {
    yield* checkName(range.model, models, [...path, "model"], "models");
    const { start, end } = range;
    if (typeof start !== "number" || typeof end !== "number") {
        return;
    }
    if (start >= end) {
        yield { path, message: `The range ${start} to ${end} is empty. Use an end above the start.` };
    }
    const model = isEntry(models) ? models[String(range.model)] : undefined;
    if (isEntry(model) && typeof model.layers === "number" && end > model.layers) {
        const message = `The model "${range.model}" has ${model.layers} layers. Use an end of at most ${model.layers}.`;
        yield { path: [...path, "end"], message };
    }
}

function* checkLinks(configuration: Entry): Generator<ValueFault> {
    const seen = new Set<string>();
    for (const [index, link] of listItems(configuration.links).entries()) {
        if (!isEntry(link)) {
            continue;
        }
        const path = ["links", index];
        yield* checkName(link.from, configuration.dataCentres, [...path, "from"], "dataCentres");
        yield* checkName(link.to, configuration.dataCentres, [...path, "to"], "dataCentres");
        const pair = JSON.stringify([link.from, link.to].sort());
        if (seen.has(pair)) {
            yield { path, message: "The link is defined twice; links are symmetric. Remove one of the two." };
        }
        if (typeof link.from === "string" && link.from === link.to) {
            yield { path, message: "The link connects a data centre to itself. Use two data centres or remove it." };
        }
        seen.add(pair);
    }
}

function* checkKeyHashes(configuration: Entry): Generator<ValueFault> {
    const owners = new Map<string, string>();
    for (const [name, customer] of listEntries(configuration.customers)) {
        for (const [index, hash] of listItems(customer.keyHashes).entries()) {
            const owner = owners.get(String(hash));
            if (owner !== undefined) {
                const message = `The key hash already belongs to the customer "${owner}". Remove one of the two.`;
                yield { path: ["customers", name, "keyHashes", index], message };
            }
            owners.set(String(hash), name);
        }
    }
}

function* checkName(
    name: unknown,
    section: unknown,
    path: (string | number)[],
    sectionName: string,
): Generator<ValueFault> {
    if (typeof name === "string" && !(isEntry(section) && Object.hasOwn(section, name))) {
        yield { path, message: `"${name}" is not defined under "${sectionName}". Define it or correct the name.` };
    }
}

function listEntries(section: unknown): [string, Entry][] {
    return Object.entries(isEntry(section) ? section : {})
        .filter((entry): entry is [string, Entry] => isEntry(entry[1]));
}

function listItems(value: unknown): unknown[] {
    return Array.isArray(value) ? value : [];
}

function isEntry(value: unknown): value is Entry {
    return typeof value === "object" && value !== null && !Array.isArray(value);
}
