import type { LimitSharers } from "../../request/relay/limits/limitSharers.ts";
import type { RendezvousOwners } from "../membership/rendezvousOwners.ts";

/** Input of {@link chooseLimitSharers}. */
interface SharerQuery {
    /** The endpoint with the rate limit. */
    endpoint: { id: string; dataCentre: string; };
    /** Maximum number of nodes that share the limit. */
    maximumSharers: number;
    nodeId: string;
    /** All live nodes, including this one. */
    nodes: readonly { nodeId: string; dataCentre: string; }[];
    /** Assigns duties to nodes without coordination. */
    owners: RendezvousOwners;
}

/** Chooses the nodes that share an endpoint's rate limit: all nodes if they are few, otherwise nodes of its data centre first. */
export function chooseLimitSharers({ endpoint, maximumSharers, nodeId, nodes, owners }: SharerQuery): LimitSharers {
    if (nodes.length <= maximumSharers) {
        return { count: nodes.length, includesAllNodes: true, includesThisNode: true };
    }
    const local: string[] = [];
    const remote: string[] = [];
    for (const node of nodes) {
        (node.dataCentre === endpoint.dataCentre ? local : remote).push(node.nodeId);
    }
    const key = `limit/${endpoint.id}`;
    const sharers = owners.getOwners(key, local, maximumSharers);
    sharers.push(...owners.getOwners(key, remote, maximumSharers - sharers.length));
    return { count: sharers.length, includesAllNodes: false, includesThisNode: sharers.includes(nodeId) };
}
