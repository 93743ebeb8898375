import { budgets } from "./budgets.ts";
import { computeClaimTotals } from "./computeClaimTotals.ts";
import { computeNodeTotals } from "./computeNodeTotals.ts";
import { computePathTotals } from "./computePathTotals.ts";
import { computeStoreTotals } from "./computeStoreTotals.ts";
import { designSize } from "./designSize.ts";
import type { Measurements } from "./measurements.ts";
import { SlopeTable } from "./slopeTable.ts";
import type { Total } from "./total.ts";

/**
 * Computes the totals at the design size.
 * @param measurements - Measurements of a complete run.
 */
export function computeTotals(measurements: Measurements): Total[] {
    const slopes = SlopeTable.create(measurements.slopes);
    return [
        ...computeNodeTotals(slopes, measurements.idleNodes?.at(0)),
        ...computeMemory(measurements, slopes),
        ...computeClaimTotals(slopes),
        ...computeStoreTotals(slopes),
        ...computePathTotals(slopes),
    ];
}

/** Computes the resident memory of the built node with a configuration of the design size, plus that of membership. */
function computeMemory({ idleNodes, peers }: Measurements, slopes: SlopeTable): Total[] {
    const { nodes, runners } = designSize;
    const [start, large] = [idleNodes?.at(0), idleNodes?.at(-1)];
    // A node has one connection to each peer and one from each. Both ends of a connection were measured together.
    const connections = (nodes - 1) * (peers?.connectionBytes ?? Number.NaN) / 1e6;
    const view = slopes.getValue("peers.heap", nodes) / 1e6;
    const engines = slopes.getValue("observer.heap", runners) / 1e6;
    const role = "node, all control";
    const budget = budgets.memoryMegabytes;
    const resident = toMegabytes(large?.residentMebibytes) + connections + view;
    return [
        { role: "peer member", quantity: "memory, connections", value: connections, unit: "MB" },
        { role: "peer member", quantity: "memory, view", value: view, unit: "MB" },
        { role: "endpoint observer", quantity: "memory, state of the engines", value: engines, unit: "MB" },
        { role, quantity: "resident at start", value: toMegabytes(start?.residentMebibytes), unit: "MB", budget },
        { role, quantity: "resident", value: resident, unit: "MB", budget },
        { role, quantity: "of it pages of files", value: toMegabytes(large?.filesMebibytes), unit: "MB" },
    ];
}

function toMegabytes(mebibytes = Number.NaN): number {
    return mebibytes * 2 ** 20 / 1e6;
}
