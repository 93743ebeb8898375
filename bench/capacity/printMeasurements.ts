import { formatTable } from "../policy/formatTable.ts";
import type { Measurements } from "./measurements.ts";
import type { Slope } from "./slope.ts";
import type { Total } from "./total.ts";

/**
 * Prints the measurements and the totals as separate Markdown tables.
 * @param measurements - Results of the run.
 * @param totals - Computed totals; empty if only some parts were run.
 */
export function printMeasurements(measurements: Measurements, totals: readonly Total[]): void {
    const { slopes, path, peers, reports, idleNodes } = measurements;
    console.log("Slopes (least squares):\n");
    const headers = ["id", "role", "quantity", "unit", "per additional", "slope", "at 0", "residual", "points (x: y)"];
    console.log(formatTable(headers, slopes.map(formatSlope)));
    if (path !== undefined) {
        const { heapMebibytes, residentMebibytes, callers } = path;
        console.log(
            `\nNode run from source, after the load: heap ${format(heapMebibytes)} MiB, resident ${
                format(residentMebibytes)
            } MiB.\n`,
        );
        const rows = callers.map(row => [row.callers, row.hopsPerSecond, row.microsecondsPerHop].map(format));
        console.log(formatTable(["callers", "hops/s", "processor us per hop"], rows));
    }
    if (peers !== undefined) {
        const { exchangeMicroseconds, connectionBytes } = peers;
        console.log(
            `\nHeartbeat, both ends: ${format(exchangeMicroseconds)} us; open connection, both ends: ${
                format(connectionBytes / 1_024)
            } KiB.`,
        );
    }
    if (reports !== undefined) {
        console.log("\nPropagation of endpoint records by gossip:\n");
        const reportHeaders = [
            "nodes",
            "engines",
            "before",
            "heard",
            "mean age s",
            "seconds until 50% / 95% / all nodes know a leaving engine",
        ];
        const rows = reports.map(({ nodes, engines, before, known, meanAgeSeconds, leavingKnownSeconds }) => [
            ...[nodes, engines].map(format),
            before,
            ...[known, meanAgeSeconds].map(format),
            leavingKnownSeconds.map(value => value === undefined ? "not in 16" : format(value)).join(" / "),
        ]);
        console.log(formatTable(reportHeaders, rows));
    }
    if (idleNodes !== undefined) {
        console.log("\nBuilt node, idle:\n");
        const rows = idleNodes.map(node => [
            node.state,
            ...[node.residentMebibytes, node.filesMebibytes, node.heapMebibytes].map(format),
            format(node.processorMillisecondsPerSecond),
        ]);
        console.log(formatTable(["state", "resident MiB", "file-backed MiB", "heap MiB", "processor ms/s"], rows));
    }
    if (totals.length > 0) {
        printTotals(totals);
    }
}

function printTotals(totals: readonly Total[]): void {
    console.log("\nTotals at the design size:\n");
    const rows = totals.map(({ role, quantity, value, unit, budget }) => {
        const verdict = budget === undefined
            ? ""
            : value <= budget
            ? "kept"
            : `exceeded, ${format(value / budget)} times the budget`;
        return [role, quantity, format(value), unit, budget === undefined ? "" : String(budget), verdict];
    });
    console.log(formatTable(["role", "quantity", "value", "unit", "budget", ""], rows));
}

function formatSlope(slope: Slope): string[] {
    const points = slope.points.map(({ x, y }) => `${format(x)}: ${format(y)}`).join("; ");
    const figures = [slope.slope, slope.intercept, slope.residual].map(format);
    return [slope.id, slope.role, slope.quantity, slope.unit, slope.variable, ...figures, points];
}

/** Formats a number with three significant digits, or rounded to an integer from 100 up. */
function format(value: number): string {
    return Math.abs(value) >= 100 ? String(Math.round(value)) : String(Number(value.toPrecision(3)));
}
