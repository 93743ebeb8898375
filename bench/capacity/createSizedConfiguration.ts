import { createHash } from "node:crypto";
import { EndpointAddress } from "../../src/connection/endpoint/endpointAddress.ts";
import type { EndpointConfiguration } from "../../src/version/configuration.ts";
import { designSize } from "./designSize.ts";

const layers = 32;
const layersPerStage = layers / designSize.stages;
const accelerators = ["large", "medium", "small", "old"];

/** Numbers of entries in a configuration. */
interface ConfigurationSize {
    customers: number;
    /** Number of endpoints that are engines. */
    runners: number;
    models: number;
}

/**
 * Creates a configuration as an object, with names of typical length and all optional members that operators of mixed
 * accelerators need. The runners are distributed over models and stages so that all layers are served.
 * @param size - Numbers of entries.
 */
export function createSizedConfiguration(size: ConfigurationSize): object {
    return {
        dataCentres: createEntries(designSize.dataCentres, getDataCentre, index => ({ region: `region-${index % 3}` })),
        links: createLinks(),
        models: createEntries(size.models, getModel, () => ({ layers, hiddenBytes: 8_192 })),
        services: createEntries(size.models, index => `assistant-${index}`, index => ({
            kind: "model",
            model: getModel(index),
        })),
        endpoints: createEntries(size.runners, index => `runner-${index}`, index => createRunner(index, size.models)),
        customers: createEntries(size.customers, index => `customer-${index}`, createCustomer),
    };
}

function createRunner(index: number, models: number): Partial<EndpointConfiguration> {
    const start = Math.floor(index / models) % designSize.stages * layersPerStage;
    return {
        kind: "engine",
        address: EndpointAddress.parse(`10.${index % 10}.${Math.floor(index / 200)}.${1 + index % 200}:8000`).unwrap(),
        dataCentre: getDataCentre(index % designSize.dataCentres),
        accelerator: accelerators[index % accelerators.length],
        layers: [{ model: getModel(index % models), start, end: start + layersPerStage }],
        checksFencing: index % 2 === 0,
        maximumSequences: 64,
        ...(index % 2 === 0 ? { stepMillisecondsPerLayer: 0.4 } : {}),
    };
}

function createCustomer(index: number): object {
    const digest = createHash("sha256").update(`key of customer ${index}`).digest("hex");
    return { keyHashes: [`sha256:${digest}`], weight: 1 + index % 5, requestsPerSecond: 10 };
}

function createLinks(): object[] {
    const links: object[] = [];
    for (let from = 0; from < designSize.dataCentres; from++) {
        for (let to = from + 1; to < designSize.dataCentres; to++) {
            const [latencyMilliseconds, megabytesPerSecond] = from % 3 === to % 3 ? [0.5, 1_000] : [25, 10];
            links.push({ from: getDataCentre(from), to: getDataCentre(to), latencyMilliseconds, megabytesPerSecond });
        }
    }
    return links;
}

function createEntries(count: number, getName: (index: number) => string, createEntry: (index: number) => object) {
    return Object.fromEntries(Array.from({ length: count }, (_, index) => [getName(index), createEntry(index)]));
}

function getDataCentre(index: number): string {
    return `data-centre-${index}`;
}

function getModel(index: number): string {
    return `model-${index}`;
}
