import type { NodeStatus } from "../admin/nodeStatus.ts";
import { formatTable } from "./formatTable.ts";

const millisecondsPerSecond = 1000;

const nodeHeading = [
    "NODE",
    "DATA CENTRE",
    "READY",
    "VERSION",
    "RUNNING",
    "QUEUED",
    "TOKENS/S",
    "BOUND",
    "STORE",
    "PEERS",
    "REASON",
];

/**
 * Formats the statuses of nodes as tables: one of these nodes, one of the members and one of the endpoints that they see.
 * @param statuses - Statuses of the nodes.
 */
export function formatStatus(statuses: readonly NodeStatus[]): string[] {
    const nodes = [nodeHeading];
    const members = new Map<string, string[]>();
    const endpoints = new Map<string, string[]>();
    for (const status of statuses) {
        const { vm } = status;
        nodes.push(formatNode(status));
        for (const member of status.members) {
            const row = [member.vm, member.dataCentre, member.state, String(member.configurationVersion), vm];
            addView(members, row);
        }
        for (const { endpoint, state } of status.endpoints) {
            addView(endpoints, [endpoint, state, vm]);
        }
    }
    return [
        ...formatTable(nodes),
        "",
        ...formatTable([["MEMBER", "DATA CENTRE", "STATE", "VERSION", "SEEN BY"], ...sortRows(members)]),
        "",
        ...formatTable([["ENDPOINT", "STATE", "SEEN BY"], ...sortRows(endpoints)]),
    ];
}

function formatNode(status: NodeStatus): string[] {
    return [
        status.vm,
        status.dataCentre,
        status.ready ? "yes" : "no",
        String(status.configurationVersion),
        String(status.runningRequests),
        String(status.queuedRequests),
        status.tokensPerSecond.toFixed(0),
        status.flowBoundTokensPerSecond?.toFixed(0) ?? "-",
        formatAge(status.storeSilentMilliseconds),
        formatAge(status.peersSilentMilliseconds),
        status.reason,
    ];
}

function formatAge(milliseconds: number | undefined): string {
    return milliseconds === undefined ? "never" : `${(milliseconds / millisecondsPerSecond).toFixed(1)} s ago`;
}

/** Adds a row whose last cell is the observing node. Rows that only differ in the observer are merged. */
function addView(rows: Map<string, string[]>, row: string[]): void {
    const observer = row.at(-1) ?? "";
    const key = JSON.stringify(row.slice(0, -1));
    const existing = rows.get(key);
    rows.set(key, existing === undefined ? row : [...existing.slice(0, -1), `${existing.at(-1)}, ${observer}`]);
}

function sortRows(rows: Map<string, string[]>): string[][] {
    return [...rows].sort(([left], [right]) => left < right ? -1 : 1).map(([, row]) => row);
}
