import { estimatePrefillTime } from "../chains/estimatePrefillTime.ts";
import type { RelayStage } from "../chains/relayStage.ts";
import type { RelayEnvironment } from "../relayEnvironment.ts";
import type { RelayTask } from "../relayTask.ts";

/** Estimates the time that the stages of a chain take to read the prompt of a request, in milliseconds. */
export function estimateReadingTime(
    { directory }: Pick<RelayEnvironment, "directory">,
    { service: { engine }, request }: Pick<RelayTask, "service" | "request">,
    stages: readonly RelayStage[],
): number {
    let milliseconds = 0;
    for (const { endpoint, start, end } of stages) {
        const kind = engine?.kinds.get(endpoint.kind ?? "");
        if (engine !== undefined && kind !== undefined) {
            const work = { kind, layers: end - start, requests: 1, slowness: directory.getSlowness(endpoint.id) };
            milliseconds += estimatePrefillTime(engine, work, request.promptTokens || engine.typicalPromptTokens);
        }
    }
    return milliseconds;
}
