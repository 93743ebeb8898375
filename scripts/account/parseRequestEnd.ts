import { z } from "zod";
import { RefusalReason } from "../../src/request/relay/answers/refusalReason.ts";
import type { Objectives } from "./objectives.ts";
import type { RequestEnd } from "./requestEnd.ts";

/** The end of a request, before lines of other events are taken into account. */
interface ParsedEnd extends Omit<RequestEnd, "retryMilliseconds" | "kinds"> {
    /** Id of the request. */
    request: string;
    /** Ids of the endpoints in use at the end, in order. */
    endpoints: string[];
}

const endSchema = z.object({
    time: z.string(),
    request: z.string().default(""),
    route: z.string(),
    rank: z.number().optional(),
    customer: z.string().optional(),
    dataCentre: z.string().optional(),
    dataCentres: z.string().optional(),
    outcome: z.string(),
    cause: z.string().default(""),
    chain: z.string().default(""),
    endpoint: z.string().default(""),
    milliseconds: z.number(),
    reroutes: z.number().default(0),
    attempts: z.number().default(1),
    sentMilliseconds: z.number().optional(),
    firstEventMilliseconds: z.number().optional(),
    longestGapMilliseconds: z.number().default(0),
});
const refusedOutcomes: ReadonlySet<string> = new Set([RefusalReason.NotRun, RefusalReason.HeldBack]);

/**
 * Parses the fields of a log line of the event `relayEnded`.
 * @param fields - The fields.
 * @param objectives - Limits that a response must meet to be in time.
 * @returns Undefined if they are malformed.
 */
export function parseRequestEnd(
    fields: Readonly<Record<string, unknown>>,
    objectives: Objectives,
): ParsedEnd | undefined {
    const parsed = endSchema.safeParse(fields);
    if (!parsed.success) {
        return undefined;
    }
    const end = parsed.data;
    const { request, route, rank, customer, dataCentre, dataCentres, sentMilliseconds = -1 } = end;
    return {
        request,
        arrivedAt: Date.parse(end.time) - end.milliseconds,
        route,
        reason: getReason(end, objectives),
        isRefused: refusedOutcomes.has(end.outcome),
        sentMilliseconds: sentMilliseconds < 0 ? undefined : sentMilliseconds,
        rank,
        customer,
        dataCentre,
        dataCentres: dataCentres === undefined ? undefined : splitList(dataCentres),
        endpoints: end.endpoint === "" ? splitList(end.chain).map(getStageEndpoint) : [end.endpoint],
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

function splitList(text: string): string[] {
    return text === "" ? [] : text.split(",");
}

/** Gets the endpoint of a stage that is formatted as `ID=START-END`. */
function getStageEndpoint(stage: string): string {
    return stage.slice(0, stage.lastIndexOf("="));
}
