import { readEventLine } from "../../logging/readEventLine.ts";
import type { RequestLogLine } from "./requestLogLine.ts";

/** Time before the first and after the last line of a request in which lines about its endpoints are included. */
const contextMilliseconds = 3_000;
const commonFields = new Set(["time", "level", "event", "message", "vm"]);
/** Matches the endpoint ids in a chain, which is formatted as ID=FROM-TO,... */
const idPattern = /[^=,\s]+(?==\d+-\d+)/g;

/**
 * Finds the log lines about a request: its own lines, and lines from around the same time about the endpoints that it used.
 * @param lines - Log lines in any order. Lines that aren't JSON are ignored.
 * @param requestId - Id of the request.
 * @returns The lines in chronological order.
 */
export function findRequestLog(lines: Iterable<string>, requestId: string): RequestLogLine[] {
    const parsed: RequestLogLine[] = [];
    for (const line of lines) {
        const parsedLine = parseLine(line);
        if (parsedLine !== undefined) {
            parsed.push(parsedLine);
        }
    }
    const own = parsed.filter(({ fields }) => fields["request"] === requestId);
    const [first] = own.toSorted(compareTime);
    const last = own.toSorted(compareTime).at(-1);
    if (first === undefined || last === undefined) {
        return [];
    }
    const endpointIds = new Set(own.flatMap(({ fields }) => listEndpointIds(fields)));
    const context = parsed.filter(({ time, fields }) =>
        fields["request"] === undefined
        && endpointIds.has(String(fields["endpoint"]))
        && time >= first.time - contextMilliseconds
        && time <= last.time + contextMilliseconds
    );
    return [...own, ...context.map(line => ({ ...line, isContext: true }))].sort(compareTime);
}

function parseLine(line: string): RequestLogLine | undefined {
    const value = readEventLine(line);
    if (value === undefined) {
        return undefined;
    }
    const entries = Object.entries(value);
    const { time, vm, event, message } = value;
    if (typeof time !== "string" || typeof event !== "string") {
        return undefined;
    }
    return {
        time: Date.parse(time),
        vm: String(vm),
        event,
        message: String(message),
        fields: Object.fromEntries(entries.filter(([name]) => !commonFields.has(name))),
        isContext: false,
    };
}

function listEndpointIds({ endpoint, chain, avoided }: RequestLogLine["fields"]): string[] {
    const ids = typeof chain === "string" ? chain.match(idPattern) ?? [] : [];
    const avoidedIds = typeof avoided === "string" ? avoided.split(",") : [];
    return [...ids, ...avoidedIds, ...(typeof endpoint === "string" ? [endpoint] : [])].filter(id => id !== "");
}

function compareTime(left: RequestLogLine, right: RequestLogLine): number {
    return left.time - right.time;
}
