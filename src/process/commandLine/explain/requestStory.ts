import { readEventLine } from "../../logging/readEventLine.ts";
import type { StoryLine } from "./storyLine.ts";

/** How far around the request lines about its endpoints are shown, in milliseconds. */
const contextMilliseconds = 3_000;
const commonFields = new Set(["time", "level", "event", "message", "vm"]);
const idPattern = /[^=,\s]+(?==\d+-\d+)/g;

/**
 * Finds what the logs of all nodes say of a request: its own lines, and those of about the same time that concern the
 * endpoints that it used.
 * @param lines - Lines of the logs, in any order; lines that aren't JSON are passed over.
 * @param requestId - The request.
 * @returns The lines in order of time.
 */
export function findRequestStory(lines: Iterable<string>, requestId: string): StoryLine[] {
    const parsed: StoryLine[] = [];
    for (const line of lines) {
        const story = parseLine(line);
        if (story !== undefined) {
            parsed.push(story);
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

function parseLine(line: string): StoryLine | undefined {
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

function listEndpointIds({ endpoint, chain, avoided }: StoryLine["fields"]): string[] {
    const ids = typeof chain === "string" ? chain.match(idPattern) ?? [] : [];
    const avoidedIds = typeof avoided === "string" ? avoided.split(",") : [];
    return [...ids, ...avoidedIds, ...(typeof endpoint === "string" ? [endpoint] : [])].filter(id => id !== "");
}

function compareTime(left: StoryLine, right: StoryLine): number {
    return left.time - right.time;
}
