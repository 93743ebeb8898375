import type { Configuration } from "./configuration.ts";

const keyHashPattern = /^sha256:[0-9a-f]{64}$/;
const shownHashLength = "sha256:".length + 8;

/**
 * Lists the differences between two configurations in a readable form: `+` added, `-` removed, `~` changed. Key hashes are shortened.
 * @param before - Old configuration; undefined if there is none.
 * @param after - New configuration.
 */
export function diffConfigurations(before: Configuration | undefined, after: Configuration): string[] {
    return [...diffValues(before ?? createEmpty(after), after, "")];
}

/** Creates an object with the same sections, all empty. */
function createEmpty(configuration: Configuration): object {
    const sections = Object.entries(configuration);
    return Object.fromEntries(sections.map(([name, section]) => [name, Array.isArray(section) ? [] : {}]));
}

function* diffValues(before: unknown, after: unknown, path: string): Generator<string> {
    if (isList(before) && isList(after)) {
        yield* diffLists(before, after, path);
        return;
    }
    const isNested = isObject(before) && isObject(after) && Array.isArray(before) === Array.isArray(after);
    if (isNested) {
        yield* diffMembers(before, after, path);
    }
    else if (before === undefined && after !== undefined) {
        yield `+ ${path}: ${formatValue(after)}`;
    }
    else if (before !== undefined && after === undefined) {
        yield `- ${path}: ${formatValue(before)}`;
    }
    else if (before !== after) {
        yield `~ ${path}: ${formatValue(before)} -> ${formatValue(after)}`;
    }
}

/** Compares two lists of primitive values as sets. */
function* diffLists(before: unknown[], after: unknown[], path: string): Generator<string> {
    for (const item of before.filter(item => !after.includes(item))) {
        yield `- ${path}: ${formatValue(item)}`;
    }
    for (const item of after.filter(item => !before.includes(item))) {
        yield `+ ${path}: ${formatValue(item)}`;
    }
}

function* diffMembers(before: object, after: object, path: string): Generator<string> {
    const left = new Map<string, unknown>(Object.entries(before));
    const right = new Map<string, unknown>(Object.entries(after));
    for (const key of new Set([...left.keys(), ...right.keys()])) {
        const member = Array.isArray(after) ? `${path}[${key}]` : path === "" ? key : `${path}.${key}`;
        yield* diffValues(left.get(key), right.get(key), member);
    }
}

function formatValue(value: unknown): string {
    return JSON.stringify(
        value,
        (_key, member: unknown) =>
            typeof member === "string" && keyHashPattern.test(member)
                ? `${member.slice(0, shownHashLength)}...`
                : member,
    );
}

function isObject(value: unknown): value is object {
    return typeof value === "object" && value !== null;
}

function isList(value: unknown): value is unknown[] {
    return Array.isArray(value) && value.every(item => !isObject(item));
}
