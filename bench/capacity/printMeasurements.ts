import { formatTable } from "../policy/formatTable.ts";
import type { Measurements } from "./measurements.ts";
import type { Slope } from "./slope.ts";
import type { Total } from "./total.ts";

/**
 * Prints the measurements, and apart from them the totals, as Markdown tables.
 * @param measurements - What was measured.
 * @param totals - What was worked out; none where parts were not run.
 */
export function printMeasurements(measurements: Measurements, totals: readonly Total[]): void {
    const { slopes, path, peers, reports, idleNodes } = measurements;
    console.log("Slopes, by least squares:\n");
    const head = ["id", "role", "quantity", "unit", "for one more", "slope", "at 0", "residual", "points (x: y)"];
    console.log(formatTable(head, slopes.map(formatSlope)));
    if (path !== undefined) {
        const { heapMebibytes, residentMebibytes, callers } = path;
        console.log(
            `\nNode from its sources after the load: heap ${format(heapMebibytes)} MiB, resident ${
                format(residentMebibytes)
            } MiB.\n`,
        );
        const rows = callers.map(row => [row.callers, row.hopsPerSecond, row.microsecondsPerHop].map(format));
        console.log(formatTable(["callers", "hops/s", "us of processor a hop"], rows));
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
        console.log("\nEndpoint records on gossip:\n");
        const columns = [
            "nodes",
            "engines",
            "before",
            "heard",
            "mean age s",
            "50% / 95% / all know a leaving engine, s",
        ];
        const rows = reports.map(({ nodes, engines, before, known, meanAgeSeconds, leavingKnownSeconds }) => [
            ...[nodes, engines].map(format),
            before,
            ...[known, meanAgeSeconds].map(format),
            leavingKnownSeconds.map(value => value === undefined ? "not in 16" : format(value)).join(" / "),
        ]);
        console.log(formatTable(columns, rows));
    }
    if (idleNodes !== undefined) {
        console.log("\nBuilt node without requests:\n");
        const rows = idleNodes.map(node => [
            node.state,
            ...[node.residentMebibytes, node.filesMebibytes, node.heapMebibytes].map(format),
            format(node.processorMillisecondsPerSecond),
        ]);
        console.log(formatTable(["state", "resident MiB", "of it files MiB", "heap MiB", "processor ms/s"], rows));
    }
    if (totals.length > 0) {
        printTotals(totals);
    }
}

function printTotals(totals: readonly Total[]): void {
    console.log("\nWorked out at the letter's size:\n");
    const rows = totals.map(({ role, quantity, value, unit, budget }) => {
        const verdict = budget === undefined
            ? ""
            : value <= budget
            ? "kept"
            : `broken, ${format(value / budget)} times`;
        return [role, quantity, format(value), unit, budget === undefined ? "" : String(budget), verdict];
    });
    console.log(formatTable(["role", "quantity", "value", "unit", "budget", ""], rows));
}

function formatSlope(slope: Slope): string[] {
    const points = slope.points.map(({ x, y }) => `${format(x)}: ${format(y)}`).join("; ");
    const figures = [slope.slope, slope.intercept, slope.residual].map(format);
    return [slope.id, slope.role, slope.quantity, slope.unit, slope.variable, ...figures, points];
}

/** Writes a number with three digits that count, whole ones in full. */
function format(value: number): string {
    return Math.abs(value) >= 100 ? String(Math.round(value)) : String(Number(value.toPrecision(3)));
}
