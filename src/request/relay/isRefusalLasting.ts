import type { EndpointReport } from "./endpointReport.ts";
import { fullMemoryPart } from "./fullMemoryPart.ts";

/**
 * Decides whether an endpoint that has refused a request will refuse the next ones too: it is leaving, or gives its layers up, or is
 * lost. One that is full takes others as soon as room comes free, and to keep all nodes away from it would waste that.
 * @param report - What it says of itself; undefined where it doesn't answer.
 */
export function isRefusalLasting(report: EndpointReport | undefined): boolean {
    return report === undefined || report.usedTokenLayers < fullMemoryPart * report.totalTokenLayers;
}
