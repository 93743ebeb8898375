import { fullMemoryFraction } from "../chains/fullMemoryFraction.ts";
import type { EndpointReport } from "../endpoints/endpointReport.ts";

/**
 * Checks if an endpoint that has refused a request will also refuse the next ones, because it is leaving, unloads its layers or
 * is down. A full endpoint accepts requests again as soon as memory is free, which would go unused if all nodes avoided it.
 * @param report - The endpoint's report; undefined if it doesn't answer.
 */
export function isRefusalLasting(report: EndpointReport | undefined): boolean {
    return report === undefined || report.usedTokenLayers < fullMemoryFraction * report.totalTokenLayers;
}
