import { createHash } from "node:crypto";
import type { EngineSpecification } from "./engineSpecification.ts";

/** Options of {@link createDeploymentConfiguration}. */
interface DeploymentConfigurationOptions {
    dataCentres: readonly string[];
    model: string;
    modelLayers: number;
    engines: readonly (EngineSpecification & { address: string; })[];
    documents: readonly { name: string; address: string; }[];
    /** Maximum of concurrent sequences per engine. */
    maximumSequences: number;
    /** API keys of the customers. */
    keys: { families: string; clerks: string; };
    limits?: object;
    claims?: object;
}

/**
 * Creates the configuration of a local deployment: one model, its engines, and document services with and without
 * idempotent requests.
 */
export function createDeploymentConfiguration(parts: DeploymentConfigurationOptions): Record<string, unknown> {
    const { dataCentres, model, modelLayers, documents, keys, limits, claims } = parts;
    const documentNames = documents.map(document => document.name);
    return {
        dataCentres: Object.fromEntries(dataCentres.map(name => [name, { region: "south" }])),
        links: createLinks(dataCentres),
        models: { [model]: { layers: modelLayers, hiddenBytes: 8192 } },
        endpoints: createEndpoints(parts),
        services: {
            assistant: { kind: "model", model },
            letters: { kind: "model", model, idempotent: false },
            ...(documentNames.length === 0 ? {} : {
                receipts: { kind: "document", endpoints: documentNames, idempotent: false },
                summaries: { kind: "document", endpoints: documentNames, idempotent: true },
            }),
        },
        customers: {
            families: { keyHashes: [hashKey(keys.families)], weight: 3, requestsPerSecond: 10_000 },
            clerks: { keyHashes: [hashKey(keys.clerks)], weight: 1, requestsPerSecond: 10_000 },
        },
        ...(limits === undefined ? {} : { limits }),
        ...(claims === undefined ? {} : { claims }),
    };
}

function createEndpoints(parts: DeploymentConfigurationOptions): Record<string, object> {
    const { dataCentres, model, engines, documents, maximumSequences } = parts;
    const endpoints: Record<string, object> = {};
    for (const { name, address, dataCentre, accelerator, layers, checksFencing } of engines) {
        const [start, end] = layers.split("-").map(Number);
        endpoints[name] = {
            kind: "engine",
            address,
            dataCentre,
            accelerator,
            layers: [{ model, start, end }],
            checksFencing,
            maximumSequences,
        };
    }
    for (const { name, address } of documents) {
        endpoints[name] = { kind: "document", address, dataCentre: dataCentres[0], maximumSequences: 64 };
    }
    return endpoints;
}

function createLinks(dataCentres: readonly string[]): object[] {
    const links: object[] = [];
    for (const [index, from] of dataCentres.entries()) {
        for (const to of dataCentres.slice(index + 1)) {
            links.push({ from, to, latencyMilliseconds: 0.5, megabytesPerSecond: 1_000 });
        }
    }
    return links;
}

function hashKey(key: string): string {
    return `sha256:${createHash("sha256").update(key).digest("hex")}`;
}
