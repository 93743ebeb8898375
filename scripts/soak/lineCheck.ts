import type { Violations } from "./violations.ts";

/** Kinds of violations by the numbers of log events that no fault justifies. */
const forbiddenEvents: Readonly<Record<string, string>> = {
    FL1011: "nodeFailed",
    FL1701: "invariantFailed",
    FL1703: "requestCrashed",
};
const eventPattern = /"event":"(FL\d{4})"/;

/**
 * Checks a line of output of a process.
 * @param name - Name of the process.
 * @param line - The line.
 * @param violations - Receives the violations.
 */
export function checkLine(name: string, line: string, violations: Violations): void {
    const kind = forbiddenEvents[eventPattern.exec(line)?.[1] ?? ""];
    if (kind !== undefined) {
        violations.addNow(kind, `${name} logged ${line}`, [name]);
    }
}
