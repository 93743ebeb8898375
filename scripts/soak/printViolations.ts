import { countNames } from "./countNames.ts";
import { formatCounts } from "./formatCounts.ts";
import type { Violation } from "./violations.ts";

/** Prints the violations by kind, with the log lines around the first few of each kind. */
export function printViolations(violations: readonly Violation[], print: (line: string) => void): void {
    const counts = countNames(violations.map(({ kind }) => kind));
    print(`Violations: ${violations.length}. ${formatCounts(counts)}`);
    for (const { kind, message, faults, lines } of violations.filter(violation => violation.lines.length > 0)) {
        print(`\n${kind}: ${message}\n  Faults: ${faults}`);
        for (const line of lines) {
            print(`  | ${line}`);
        }
    }
}
