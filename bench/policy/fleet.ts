import { EndpointAddress } from "../../src/connection/endpoint/endpointAddress.ts";
import type { EndpointState } from "../../src/connection/endpoint/endpointState.ts";
import type { RandomSource } from "../../src/process/randomSource.ts";
import type { Configuration, EndpointConfiguration } from "../../src/version/configuration.ts";
import type { EngineSpeed } from "./engineSpeed.ts";

const layers = 32;
/** Size of the activations of one position: 8,192 numbers of two bytes. */
const hiddenBytes = 16_384;
/** Fraction of the endpoints whose step time is configured. */
const configuredStepTimeFraction = 0.4;
/** Largest relative deviation of an engine's step time from that of its kind. */
const maximumSpeedDeviation = 0.2;

/** Kinds of accelerators, with the number of layers that an engine of the kind holds. */
const kinds = [
    { accelerator: "large", perLayerMilliseconds: 1, batchPositions: 12, layers: 16 },
    { accelerator: "medium", perLayerMilliseconds: 1.6, batchPositions: 8, layers: 12 },
    { accelerator: "small", perLayerMilliseconds: 2.4, batchPositions: 8, layers: 8 },
    { accelerator: "old", perLayerMilliseconds: 4, batchPositions: 6, layers: 4 },
] as const;

const dataCentres = ["a", "b", "c"] as const;

/** A generated fleet: the configuration and states that the nodes see, and the actual speeds of the engines. */
export interface Fleet {
    configuration: Configuration;
    speeds: ReadonlyMap<string, EngineSpeed>;
    states: ReadonlyMap<string, EndpointState>;
}

/**
 * Creates a fleet of four kinds of accelerators in three data centres whose links differ by a factor of 100.
 * @param runners - Number of engines.
 * @param models - Number of models; engines are assigned to them in turn.
 * @param random - Random source for the speeds, data centres and configured step times of the engines.
 */
export function createFleet(runners: number, models: number, random: RandomSource): Fleet {
    const endpoints: Record<string, EndpointConfiguration> = {};
    const speeds = new Map<string, EngineSpeed>();
    const nextLayer = new Map<string, number>();
    for (let index = 0; index < runners; index++) {
        const model = `model${index % models}`;
        const ordinal = Math.floor(index / models);
        const kind = kinds[ordinal % kinds.length] ?? kinds[0];
        const name = `endpoint${index}`;
        const start = (nextLayer.get(model + kind.accelerator) ?? 0) % layers;
        const end = Math.min(layers, start + kind.layers);
        nextLayer.set(model + kind.accelerator, end);
        const perLayerMilliseconds = kind.perLayerMilliseconds * (1 + maximumSpeedDeviation * (2 * random() - 1));
        speeds.set(name, {
            accelerator: kind.accelerator,
            baseMilliseconds: 0.5,
            perLayerMilliseconds,
            perWorkMilliseconds: perLayerMilliseconds * 0.04,
            batchPositions: kind.batchPositions,
        });
        endpoints[name] = {
            kind: "engine",
            address: EndpointAddress.parse("127.0.0.1:1").unwrap(),
            dataCentre: dataCentres[Math.floor(random() * dataCentres.length)] ?? "a",
            accelerator: kind.accelerator,
            layers: [{ model, start, end }],
            checksFencing: true,
            maximumSequences: kind.batchPositions * 64,
            stepMillisecondsPerLayer: random() < configuredStepTimeFraction ? perLayerMilliseconds : undefined,
        };
    }
    return { configuration: createConfiguration(models, endpoints), speeds, states: createStates(endpoints) };
}

function createStates(endpoints: Readonly<Record<string, EndpointConfiguration>>): Map<string, EndpointState> {
    return new Map(
        Object.entries(endpoints).map(([endpoint, { layers }]) => [endpoint, { endpoint, state: "serving", layers }]),
    );
}

function createConfiguration(models: number, endpoints: Record<string, EndpointConfiguration>): Configuration {
    return {
        models: Object.fromEntries(
            Array.from({ length: models }, (_, index) => [`model${index}`, { layers, hiddenBytes }]),
        ),
        services: {},
        endpoints,
        dataCentres: Object.fromEntries(dataCentres.map(name => [name, { region: "r" }])),
        links: [
            { from: "a", to: "b", latencyMilliseconds: 0.3, megabytesPerSecond: 1_000 },
            { from: "a", to: "c", latencyMilliseconds: 5, megabytesPerSecond: 100 },
            { from: "b", to: "c", latencyMilliseconds: 30, megabytesPerSecond: 10 },
        ],
        customers: {},
        limits: { maximumBodyBytes: 1, maximumTokens: 1, maximumQueueMilliseconds: 1, maximumQueuedRequests: 1 },
        claims: { shards: 1, windowMilliseconds: 1, appendIntervalMilliseconds: 1 },
    };
}
