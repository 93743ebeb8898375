import { z } from "zod";
import { events } from "../../src/process/logging/events.ts";
import { readEventLine } from "../../src/process/logging/readEventLine.ts";
import type { Objectives } from "./objectives.ts";
import type { RequestEnd } from "./requestEnd.ts";

const endSchema = z.object({
    time: z.string(),
    event: z.literal(`FL${events.relayEnded.number}`),
    route: z.string(),
    outcome: z.string(),
    cause: z.string().default(""),
    milliseconds: z.number(),
    reroutes: z.number().default(0),
    attempts: z.number().default(1),
    firstEventMilliseconds: z.number().optional(),
    longestGapMilliseconds: z.number().default(0),
});

/**
 * Parses a log line of a node that reports the end of a request.
 * @param line - The line; text before the JSON is ignored.
 * @param objectives - Limits that a response must meet to be in time.
 * @returns Undefined if the line is of another event or malformed.
 */
export function parseRequestEnd(line: string, objectives: Objectives): RequestEnd | undefined {
    const parsed = endSchema.safeParse(readEventLine(line));
    if (!parsed.success) {
        return undefined;
    }
    const end = parsed.data;
    return {
        arrivedAt: Date.parse(end.time) - end.milliseconds,
        route: end.route,
        reason: getReason(end, objectives),
    };
}

function getReason(end: z.infer<typeof endSchema>, { firstMilliseconds, gapMilliseconds }: Objectives): string {
    if (end.outcome !== "answered") {
        return end.cause === "" ? end.outcome : `${end.outcome}: ${end.cause}`;
    }
    const suffix = `${end.reroutes > 0 ? ", moved" : ""}${end.attempts > 1 ? ", sent again" : ""}`;
    if ((end.firstEventMilliseconds ?? end.milliseconds) > firstMilliseconds) {
        return `late: its beginning${suffix}`;
    }
    return end.longestGapMilliseconds > gapMilliseconds ? `late: a pause${suffix}` : "inTime";
}
