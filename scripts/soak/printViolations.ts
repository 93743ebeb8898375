import { formatCounts } from "./formatCounts.ts";
import type { Violation } from "./violations.ts";

/** Writes broken promises for people to read, with the log lines around the first of each kind. */
export function printViolations(violations: readonly Violation[], print: (line: string) => void): void {
    print(`Violations: ${violations.length}. ${formatCounts(countKinds(violations))}`);
    for (const { kind, message, faults, lines } of violations.filter(violation => violation.lines.length > 0)) {
        print(`\n${kind}: ${message}\n  Faults: ${faults}`);
        for (const line of lines) {
            print(`  | ${line}`);
        }
    }
}

function countKinds(violations: readonly Violation[]): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const { kind } of violations) {
        counts[kind] = (counts[kind] ?? 0) + 1;
    }
    return counts;
}
