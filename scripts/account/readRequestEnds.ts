import { z } from "zod";
import { events } from "../../src/process/logging/events.ts";
import { readEventLine } from "../../src/process/logging/readEventLine.ts";
import type { Objectives } from "./objectives.ts";
import { parseRequestEnd } from "./parseRequestEnd.ts";
import type { RequestEnd } from "./requestEnd.ts";

const rejectionSchema = z.object({
    event: z.literal(`FL${events.relayRejectedAtCapacity.number}`),
    request: z.string(),
    retryAfterMilliseconds: z.number(),
});
const endpointSchema = z.object({
    event: z.literal(`FL${events.endpointRegistered.number}`),
    endpoint: z.string(),
    kind: z.string(),
});

/**
 * Reads the ends of requests from the logs of nodes, together with what other lines tell of them: the retry delays of refusals and
 * the kinds of endpoints. Other lines, malformed ones and text before the JSON are ignored.
 * @param logs - Contents of log files. The lines of a node are in one of them, in order.
 * @param objectives - Limits that a response must meet to be in time.
 */
export function readRequestEnds(logs: readonly string[], objectives: Objectives): RequestEnd[] {
    const kindsById = new Map<string, string>();
    const ends: { end: Omit<RequestEnd, "kinds">; endpoints: string[]; }[] = [];
    for (const log of logs) {
        const retryDelays = new Map<string, number>();
        for (const line of log.split("\n")) {
            const fields = readEventLine(line);
            const { data: rejection } = rejectionSchema.safeParse(fields);
            if (rejection !== undefined) {
                retryDelays.set(rejection.request, rejection.retryAfterMilliseconds);
                continue;
            }
            const { data: registration } = endpointSchema.safeParse(fields);
            if (registration !== undefined) {
                kindsById.set(registration.endpoint, registration.kind);
                continue;
            }
            const parsed = parseRequestEnd(fields, objectives);
            if (parsed !== undefined) {
                const { request, endpoints, ...end } = parsed;
                ends.push({ end: { ...end, retryMilliseconds: retryDelays.get(request) }, endpoints });
                retryDelays.delete(request);
            }
        }
    }
    return ends.map(({ end, endpoints }) => ({ ...end, kinds: listKinds(endpoints, kindsById) }));
}

function listKinds(endpoints: readonly string[], kindsById: ReadonlyMap<string, string>): string[] | undefined {
    if (kindsById.size === 0 || !endpoints.every(id => kindsById.has(id))) {
        return undefined;
    }
    return endpoints.map(id => kindsById.get(id)!).filter(kind => kind !== "");
}
