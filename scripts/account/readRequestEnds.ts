import { z } from "zod";
import { events } from "../../src/process/logging/events.ts";
import { readEventLine } from "../../src/process/logging/readEventLine.ts";
import type { Objectives } from "./objectives.ts";
import { parseRequestEnd } from "./parseRequestEnd.ts";
import type { RequestEnd } from "./requestEnd.ts";

const endedId = `FL${events.relayEnded.number}`;
const rejectedId = `FL${events.relayRejectedAtCapacity.number}`;
const registeredId = `FL${events.endpointRegistered.number}`;
const rejectionSchema = z.object({ request: z.string(), retryAfterMilliseconds: z.number() });
const endpointSchema = z.object({ endpoint: z.string(), kind: z.string() });

/**
 * Reads the ends of requests from the logs of nodes, together with what other lines tell of them: the retry delays of refusals and
 * the kinds of endpoints. Other lines, malformed ones and text before the JSON are ignored.
 * @param logs - Contents of log files, of which one is held at a time. The lines of a node are in one of them, in order.
 * @param objectives - Limits that a response must meet to be in time.
 */
export function readRequestEnds(logs: Iterable<string>, objectives: Objectives): RequestEnd[] {
    const kindsById = new Map<string, string>();
    const ends: { end: Omit<RequestEnd, "kinds">; endpoints: string[]; }[] = [];
    for (const log of logs) {
        const retryDelays = new Map<string, number>();
        for (const line of log.split("\n")) {
            const fields = readEventLine(line);
            // A schema is tried on lines of its event only: a mismatch costs more than the parsing of the line.
            if (fields?.event === rejectedId) {
                const { data } = rejectionSchema.safeParse(fields);
                if (data !== undefined) {
                    retryDelays.set(data.request, data.retryAfterMilliseconds);
                }
            }
            else if (fields?.event === registeredId) {
                const { data } = endpointSchema.safeParse(fields);
                if (data !== undefined) {
                    kindsById.set(data.endpoint, data.kind);
                }
            }
            else if (fields?.event === endedId) {
                const parsed = parseRequestEnd(fields, objectives);
                if (parsed !== undefined) {
                    const { request, endpoints, ...end } = parsed;
                    ends.push({ end: { ...end, retryMilliseconds: retryDelays.get(request) }, endpoints });
                    retryDelays.delete(request);
                }
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
