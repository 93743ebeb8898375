import type { RegisteredEndpoint } from "../../../src/request/relay/registeredEndpoint.ts";
import type { StageCandidate } from "../../../src/request/relay/stageCandidate.ts";
import type { StageQuery } from "../../../src/request/relay/stageQuery.ts";
import type { AcceleratorKind } from "../../../src/version/routing/acceleratorKind.ts";
import type { EngineModel } from "../../../src/version/routing/engineModel.ts";

const kinds: AcceleratorKind[] = [
    { name: "fast", memoryMegabytes: 72_000, stepFactor: 2.4, prefillFactor: 3.2 },
    { name: "middle", memoryMegabytes: 43_200, stepFactor: 5.6, prefillFactor: 2.7 },
    { name: "slow", memoryMegabytes: 21_600, stepFactor: 16, prefillFactor: 8.2 },
];

/** A model of 80 layers over three kinds of accelerators. */
export const relayModel: EngineModel = {
    modelName: "m",
    layers: 80,
    layerMegabytes: 1_750,
    loadSeconds: 14,
    loadsAtOnce: 5,
    slots: 134,
    tokenBytes: 1_315_343,
    stepsOfPass: 3,
    stepMilliseconds: 1.02,
    stepMillisecondsOfRequest: 0.0102,
    stepMillisecondsOfThousandTokens: 0.0137,
    prefillTokensOfMillisecond: 105,
    activationBytes: 65_767,
    pipeMegabits: 26_000,
    crossingMilliseconds: 0.75,
    usualPromptTokens: 774,
    usualAnswerTokens: 200,
    kinds: new Map(kinds.map(kind => [kind.name, kind])),
};

/** A usual request for a chain of the model. */
export const stageQuery: StageQuery = {
    model: relayModel,
    promptTokens: 800,
    answerTokens: 200,
    dataCentre: "a",
    pipeUse: 0,
    mayOverfill: false,
    sparePart: 0,
    getCrossingDelay: () => 0,
};

/** Creates an endpoint of the model. */
export function createEndpoint(id: string, changes: Partial<RegisteredEndpoint> = {}): RegisteredEndpoint {
    return {
        id,
        registeredId: id,
        incarnation: 1,
        service: "model",
        address: `10.0.0.1:${id}`,
        dataCentre: "a",
        slots: 134,
        isDraining: false,
        kind: "fast",
        layers: undefined,
        ...changes,
    };
}

/** Creates a candidate that holds layers and has room for requests. */
export function createCandidate(
    id: string,
    start: number,
    end: number,
    changes: Partial<StageCandidate> & { dataCentre?: string; } = {},
): StageCandidate {
    const { dataCentre = "a", ...rest } = changes;
    const layers = { start, end };
    return {
        endpoint: createEndpoint(id, { layers, dataCentre }),
        layers,
        kind: kinds[0]!,
        requests: 0,
        tokenLayers: 0,
        totalTokenLayers: 100_000 * (end - start),
        roomTokenLayers: 100_000 * (end - start) - (changes.tokenLayers ?? 0),
        slowness: 1,
        isSuspect: false,
        ...rest,
    };
}
