import type { StageCandidate } from "./stageCandidate.ts";

/** Gets the number of tokens for which endpoints have memory, at the layer with the least. Suspect endpoints don't count. */
export function getCapacityTokens(
    candidates: readonly Pick<StageCandidate, "layers" | "totalTokenLayers" | "isSuspect">[],
    layerCount: number,
): number {
    const changes = new Map<number, number>([[0, 0]]);
    for (const { layers: { start, end }, totalTokenLayers, isSuspect } of candidates) {
        if (isSuspect) {
            continue;
        }
        const tokens = totalTokenLayers / Math.max(1, end - start);
        changes.set(start, (changes.get(start) ?? 0) + tokens);
        changes.set(end, (changes.get(end) ?? 0) - tokens);
    }
    let tokens = 0;
    let least = Infinity;
    for (const [layer, change] of [...changes].sort(([left], [right]) => left - right)) {
        if (layer >= layerCount) {
            break;
        }
        tokens += change;
        least = Math.min(least, tokens);
    }
    return Math.max(0, least);
}
