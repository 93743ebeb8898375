import type { NodeStatus } from "../admin/nodeStatus.ts";
import { formatTable } from "./formatTable.ts";

/**
 * Formats what nodes answered as tables: the nodes that were asked, then all members and endpoints as they see them.
 * @param statuses - Answers.
 */
export function formatStatus(statuses: readonly NodeStatus[]): string[] {
    const nodes = [["NODE", "DATA CENTRE", "READY", "VERSION", "RUNNING", "QUEUED", "REASON"]];
    const members = new Map<string, string[]>();
    const endpoints = new Map<string, string[]>();
    for (const status of statuses) {
        const { vm, dataCentre, ready, reason, configurationVersion, runningRequests, queuedRequests } = status;
        const numbers = [configurationVersion, runningRequests, queuedRequests].map(String);
        nodes.push([vm, dataCentre, ready ? "yes" : "no", ...numbers, reason]);
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

/** Adds a row whose last cell names the node that sees it so; nodes that see the same share a row. */
function addView(rows: Map<string, string[]>, row: string[]): void {
    const observer = row.at(-1) ?? "";
    const key = JSON.stringify(row.slice(0, -1));
    const known = rows.get(key);
    rows.set(key, known === undefined ? row : [...known.slice(0, -1), `${known.at(-1)}, ${observer}`]);
}

function sortRows(rows: Map<string, string[]>): string[][] {
    return [...rows].sort(([left], [right]) => left < right ? -1 : 1).map(([, row]) => row);
}
