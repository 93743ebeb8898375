import type { EngineModel } from "../../../version/routing/engineModel.ts";
import { getMeanContext } from "./getMeanContext.ts";
import type { StageCandidate } from "./stageCandidate.ts";

/**
 * Gets the number of tokens of requests that endpoints can hold at the same time, at the layer with the least. First stages hold no
 * more requests than they have slots. Suspect endpoints don't count.
 * @param candidates - The endpoints.
 * @param model - Performance figures of the model.
 * @param maximumEventGapMilliseconds - Longest pause between events that is on time. Without it, only memory and slots count.
 */
export function getCapacityTokens(
    candidates: readonly StageCandidate[],
    model: EngineModel,
    maximumEventGapMilliseconds = Infinity,
): number {
    const changes = new Map<number, number>([[0, 0]]);
    for (const candidate of candidates) {
        if (candidate.isSuspect) {
            continue;
        }
        const { endpoint, layers: { start, end }, totalTokenLayers } = candidate;
        const slots = start === 0 ? endpoint.slots : Infinity;
        const requests = Math.min(slots, getTimelyRequests(candidate, model, maximumEventGapMilliseconds));
        const tokens = Math.min(
            totalTokenLayers / Math.max(1, end - start),
            requests * (model.typicalPromptTokens + model.typicalAnswerTokens),
        );
        changes.set(start, (changes.get(start) ?? 0) + tokens);
        changes.set(end, (changes.get(end) ?? 0) - tokens);
    }
    let tokens = 0;
    let least = Infinity;
    for (const [layer, change] of [...changes].sort(([left], [right]) => left - right)) {
        if (layer >= model.layers) {
            break;
        }
        tokens += change;
        least = Math.min(least, tokens);
    }
    return Math.max(0, least);
}

/** Gets the number of requests with which an endpoint's passes take no more of the pause than its part of the layers. */
function getTimelyRequests({ kind, slowness }: StageCandidate, model: EngineModel, gapMilliseconds: number): number {
    const stepMilliseconds = gapMilliseconds / (model.stepsPerPass * kind.stepFactor * slowness);
    const context = model.stepMillisecondsPerThousandTokens * getMeanContext(model) / 1_000;
    return Math.max(0, stepMilliseconds - model.stepMilliseconds) / (model.stepMillisecondsPerRequest + context);
}
