import type { AcceleratorKind } from "../../src/version/routing/acceleratorKind.ts";
import type { EngineModel } from "../../src/version/routing/engineModel.ts";

const kinds: AcceleratorKind[] = [
    { name: "fast", memoryMegabytes: 72_000, stepFactor: 2.4, prefillFactor: 3.2 },
    { name: "middle", memoryMegabytes: 43_200, stepFactor: 5.6, prefillFactor: 2.7 },
    { name: "slow", memoryMegabytes: 21_600, stepFactor: 16, prefillFactor: 8.2 },
];

/** The model that the simulated engines run: 80 layers on three kinds of accelerators. */
export const experimentModel: EngineModel = {
    modelName: "m",
    layers: 80,
    layerMegabytes: 1_750,
    loadSeconds: 14,
    loadsAtOnce: 5,
    slots: 134,
    bytesPerToken: 1_315_343,
    stepsPerPass: 3,
    stepMilliseconds: 1.02,
    stepMillisecondsPerRequest: 0.0102,
    stepMillisecondsPerThousandTokens: 0.0137,
    prefillTokensPerMillisecond: 105,
    activationBytesPerToken: 65_767,
    linkMegabitsPerSecond: 26_000,
    linkDelayMilliseconds: 0.75,
    typicalPromptTokens: 774,
    typicalAnswerTokens: 200,
    kinds: new Map(kinds.map(kind => [kind.name, kind])),
};
