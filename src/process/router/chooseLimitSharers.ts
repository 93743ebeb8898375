import type { LimitSharers } from "../../request/relay/limits/limitSharers.ts";
import type { RendezvousOwners } from "../membership/rendezvousOwners.ts";

/** What the choice of sharers depends on. */
interface SharerQuery {
    /** The endpoint that limits what it takes. */
    endpoint: { id: string; dataCentre: string; };
    /** Most nodes that may share the limit. */
    most: number;
    nodeId: string;
    /** All nodes that live, this one included. */
    nodes: readonly { nodeId: string; dataCentre: string; }[];
    /** Assigns duties to nodes without agreement. */
    owners: RendezvousOwners;
}

/** Chooses the nodes that share an endpoint's limit: all where they are few, else those of its data centre before others. */
export function chooseLimitSharers({ endpoint, most, nodeId, nodes, owners }: SharerQuery): LimitSharers {
    if (nodes.length <= most) {
        return { count: nodes.length, areAll: true, isOneOfThem: true };
    }
    const near: string[] = [];
    const away: string[] = [];
    for (const node of nodes) {
        (node.dataCentre === endpoint.dataCentre ? near : away).push(node.nodeId);
    }
    const key = `limit/${endpoint.id}`;
    const sharers = owners.getOwners(key, near, most);
    sharers.push(...owners.getOwners(key, away, most - sharers.length));
    return { count: sharers.length, areAll: false, isOneOfThem: sharers.includes(nodeId) };
}
