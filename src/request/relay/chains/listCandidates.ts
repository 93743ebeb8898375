import type { EngineModel } from "../../../version/routing/engineModel.ts";
import type { RelayEnvironment } from "../relayEnvironment.ts";
import { getRequestMemory } from "./getRequestMemory.ts";
import type { StageCandidate } from "./stageCandidate.ts";

/**
 * Lists the endpoints of a model that can currently be stages, which are those that hold layers.
 * @param environment - Provides the directory, the loads and the health of endpoints.
 * @param model - Performance figures of the model.
 * @param service - Name of the service.
 */
export function listCandidates(environment: RelayEnvironment, model: EngineModel, service: string): StageCandidate[] {
    const { directory, loads, health, clock, queue } = environment;
    const now = clock.getMonotonicTime();
    const demand = queue.getDemand();
    loads.forgetOldReports(now);
    const candidates: StageCandidate[] = [];
    for (const endpoint of directory.getEndpoints(service)) {
        const { layers } = endpoint;
        const kind = model.kinds.get(endpoint.kind ?? "");
        if (layers === undefined || kind === undefined) {
            continue;
        }
        const { requests, tokenLayers } = loads.getExpectedLoad(endpoint.id);
        const hiddenTokenLayers = directory.getHiddenTokenLayers(endpoint.id);
        const totalTokenLayers = getRequestMemory(model, kind, layers.end - layers.start);
        candidates.push({
            endpoint,
            layers,
            kind,
            requests,
            tokenLayers: tokenLayers + hiddenTokenLayers,
            totalTokenLayers,
            freeTokenLayers: loads.getAvailableMemory(endpoint.id, totalTokenLayers - hiddenTokenLayers, demand, now),
            freeSlots: loads.getAvailableSlots(endpoint.id, endpoint.slots, demand),
            slowness: directory.getSlowness(endpoint.id),
            isSuspect: health.isSuspect(endpoint.id, now),
        });
    }
    return candidates;
}
