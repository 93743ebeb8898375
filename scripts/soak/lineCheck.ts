import type { Violations } from "./violations.ts";

/** Events that no fault excuses, by their numbers. */
const forbiddenEvents: Readonly<Record<string, string>> = {
    FL1701: "invariantFailed",
    FL1703: "requestCrashed",
};
const eventPattern = /"event":"(FL\d{4})"/;

/**
 * Checks a line that a process has written.
 * @param name - Name of the process.
 * @param line - The line.
 * @param violations - Takes what is wrong.
 */
export function checkLine(name: string, line: string, violations: Violations): void {
    const kind = forbiddenEvents[eventPattern.exec(line)?.[1] ?? ""];
    if (kind !== undefined) {
        violations.addNow(kind, `${name} wrote ${line}`, [name]);
    }
}
