import type { RendezvousOwners } from "../membership/rendezvousOwners.ts";
import type { KnownNode } from "./nodeTable.ts";

/** Nodes to exchange state with. */
export interface Partners {
    /** Of the own data centre. */
    near: KnownNode[];
    /** Of the other data centres. */
    away: KnownNode[];
}

/** Up to so many other nodes, all are partners. */
const mostOfAll = 12;
/**
 * Partners in the own data centre, and as many in the others. A random graph in which each node has six such neighbours and
 * is one for six others spreads news in nearly the same number of rounds as one in which all are neighbours.
 */
const partnersOfKind = 3;

/**
 * Chooses the partners of a node. In a large deployment they are few and stay the same while they live: with 77 nodes that
 * all talk to all, the system holds 5,800 connections, whose setting up and keeping took most of the processor time.
 * @param nodeId - The node.
 * @param dataCentre - Its data centre.
 * @param others - The other nodes that live.
 * @param owners - Assigns partners without agreement, so that one that comes or goes changes few pairs.
 */
export function choosePartners(
    nodeId: string,
    dataCentre: string,
    others: readonly KnownNode[],
    owners: RendezvousOwners,
): Partners {
    const near = others.filter(node => node.dataCentre === dataCentre);
    const away = others.filter(node => node.dataCentre !== dataCentre);
    if (others.length <= mostOfAll) {
        return { near, away };
    }
    return { near: chooseSome(nodeId, near, owners), away: chooseSome(nodeId, away, owners) };
}

function chooseSome(nodeId: string, nodes: readonly KnownNode[], owners: RendezvousOwners): KnownNode[] {
    const chosen = new Set(owners.getOwners(nodeId, nodes.map(node => node.nodeId), partnersOfKind));
    return nodes.filter(node => chosen.has(node.nodeId));
}
