import { StartBound } from "../../../request/admission/start/startBound.ts";
import { events } from "../../logging/events.ts";
import type { RequestLogLine } from "./requestLogLine.ts";

const rejectedEvent = `FL${events.relayRejectedAtCapacity.number}`;

const descriptions: Readonly<Record<StartBound, string>> = {
    [StartBound.Capacity]: "The endpoints had no free memory in time.",
    [StartBound.Reserve]:
        "Its rank left memory free for higher ranks, and no more was free in time. FL1730 of the same node has the reserve and its inputs.",
    [StartBound.Link]:
        "A link between data centres had no capacity in time. FL1740 tells if it was closed, FL1811 and FL1830 which endpoints were lost.",
    [StartBound.Layers]:
        "No available endpoint held some of the layers. FL1811 and FL1830 name the endpoints that were lost.",
    [StartBound.Pause]: "Endpoints had asked for a pause. FL1724 names them.",
    [StartBound.Limit]: "Endpoints had declared a limit, and this node's part was used up. FL1723 names them.",
};

/**
 * Describes which bound refused a request for lack of capacity.
 * @param requestLines - Log lines about the request, in chronological order.
 * @returns Undefined if it was not refused so, or if the logs are of a release that doesn't name the bound.
 */
export function describeRefusal(requestLines: readonly RequestLogLine[]): string | undefined {
    const fields = requestLines.findLast(({ event, isContext }) => event === rejectedEvent && !isContext)?.fields;
    const bound = Object.values(StartBound).find(known => known === fields?.["bound"]);
    if (fields === undefined || bound === undefined) {
        return undefined;
    }
    const { rank, retryAfterMilliseconds } = fields;
    const inputs = `rank ${String(rank)}, bound ${bound}, retry after ${String(retryAfterMilliseconds)} ms`;
    return `Refused (${inputs}): ${descriptions[bound]}`;
}
