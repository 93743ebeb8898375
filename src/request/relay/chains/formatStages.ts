import type { RelayStage } from "./relayStage.ts";

/** Formats a chain for a log line, as `ID=START-END` for each stage, separated by commas. */
export function formatStages(stages: readonly RelayStage[]): string {
    return stages.map(({ endpoint, start, end }) => `${endpoint.id}=${start}-${end}`).join(",");
}
