import { experimentModel } from "../../../bench/experiment/experimentModel.ts";
import type { EndpointAddress } from "../../../src/connection/endpoint/endpointAddress.ts";
import type { StageCandidate } from "../../../src/request/relay/chains/stageCandidate.ts";
import type { StageQuery } from "../../../src/request/relay/chains/stageQuery.ts";
import type { RegisteredEndpoint } from "../../../src/request/relay/endpoints/registeredEndpoint.ts";
import type { EngineModel } from "../../../src/version/routing/engineModel.ts";

/** A model with 80 layers and three accelerator kinds. */
export const relayModel: EngineModel = experimentModel;

/** A typical query for a chain of the model. */
export const stageQuery: StageQuery = {
    model: relayModel,
    promptTokens: 800,
    answerTokens: 200,
    dataCentre: "a",
    linkUtilization: 0,
    mayOvercommit: false,
    spareFraction: 0,
    isConnected: () => true,
    getLinkDelay: () => 0,
    getLinkWait: () => 0,
};

/** Creates an endpoint of the model. */
export function createEndpoint(id: string, changes: Partial<RegisteredEndpoint> = {}): RegisteredEndpoint {
    return {
        id,
        registeredId: id,
        incarnation: 1,
        service: "model",
        address: `10.0.0.1:${id}` as EndpointAddress,
        dataCentre: "a",
        slots: 134,
        isDraining: false,
        kind: "fast",
        layers: undefined,
        ...changes,
    };
}

/** Creates a candidate that holds a range of layers and has free memory for requests. */
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
        kind: relayModel.kinds.get("fast")!,
        requests: 0,
        tokenLayers: 0,
        totalTokenLayers: 100_000 * (end - start),
        freeTokenLayers: 100_000 * (end - start) - (changes.tokenLayers ?? 0),
        freeSlots: 134 - (changes.requests ?? 0),
        slowness: 1,
        isSuspect: false,
        ...rest,
    };
}
