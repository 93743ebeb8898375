import type { z } from "zod";
import type { ValueFault } from "./valueFault.ts";

/**
 * Converts a zod issue to faults whose messages say how to fix the problem.
 * @param hasValue - Checks if the text has a value at a path.
 */
export function describeIssue(
    issue: z.core.$ZodIssue,
    hasValue: (path: (string | number)[]) => boolean,
): ValueFault[] {
    const path = issue.path.map(segment => typeof segment === "number" ? segment : String(segment));
    if (issue.code === "unrecognized_keys") {
        return issue.keys.map(key => ({
            path: [...path, key],
            message: `The key "${key}" is unknown. Remove it or correct its spelling.`,
            isAboutKey: true,
        }));
    }
    if (issue.code === "invalid_key") {
        const reason = issue.issues[0]?.message ?? "The key is not allowed.";
        return [{ path, message: reason, isAboutKey: true }];
    }
    const remedy = describeRemedy(issue);
    if (!hasValue(path)) {
        const name = path.at(-1);
        return [{
            path,
            message: name === undefined ? `The text is empty. ${remedy}` : `"${name}" is missing. ${remedy}`,
        }];
    }
    return [{ path, message: remedy }];
}

function describeRemedy(issue: z.core.$ZodIssue): string {
    switch (issue.code) {
        case "invalid_type":
            return `Write a value of type ${issue.expected}.`;
        case "invalid_value":
            return `Write one of ${issue.values.map(value => JSON.stringify(value)).join(", ")}.`;
        case "invalid_union":
            return describeUnion(issue);
        case "too_small":
            return issue.inclusive === false
                ? `Write ${describeMeasure(issue.origin)} above ${issue.minimum}.`
                : `Write ${describeMeasure(issue.origin)} of at least ${issue.minimum}.`;
        case "too_big":
            return issue.inclusive === false
                ? `Write ${describeMeasure(issue.origin)} below ${issue.maximum}.`
                : `Write ${describeMeasure(issue.origin)} of at most ${issue.maximum}.`;
        default:
            // The messages of formats and custom checks are defined in the schema and already say how to fix the problem.
            return issue.message;
    }
}

function describeUnion(issue: z.core.$ZodIssueInvalidUnion): string {
    const options = "options" in issue && Array.isArray(issue.options) ? issue.options : [];
    return options.length === 0
        ? `${issue.message}. Write a value of one of the allowed shapes.`
        : `Write one of ${options.map(value => JSON.stringify(value)).join(", ")}.`;
}

function describeMeasure(origin: string): string {
    if (origin === "string") {
        return "a string with a length";
    }
    return origin === "array" ? "a list with a length" : "a number";
}
