import type { RandomSource } from "../randomSource.ts";
import type { KnownNode } from "./knownNode.ts";

/** What the choice of partners depends on. */
interface PartnerQuery {
    nodeId: string;
    dataCentre: string;
    /** The other nodes that live. */
    nodes: readonly KnownNode[];
    /** Whether this node's requests contend with those of others for room. */
    isBusy: boolean;
    random: RandomSource;
}

/** With two partners a round, state passes on over the others within seconds. */
const calmPartners = 2;
/**
 * Under load each node needs the loads of all others within a round. So up to thirteen nodes all pairs speak in each round,
 * half of them at the call of either; with two partners a round two nodes of different data centres spoke each two seconds
 * only, and nodes took places at full endpoints from what they had heard. More partners cost a node its processor.
 */
const mostBusyPartners = 6;
/** Of the second partners, this part is sought in all data centres; what crosses between them is paid by the byte. */
const awayPart = 0.6;

/**
 * Chooses the nodes to exchange state with in a round.
 * @returns Their addresses.
 */
export function choosePartners(query: PartnerQuery): Set<string> {
    return query.isBusy ? chooseNeighbours(query) : chooseSome(query);
}

/** Chooses the next nodes by id, of a ring; every second one follows and every second one goes before, so each pair has one caller. */
function chooseNeighbours({ nodeId, nodes, random }: PartnerQuery): Set<string> {
    const ring = nodes.toSorted((left, right) => left.nodeId < right.nodeId ? -1 : 1);
    const firstAfter = ring.findIndex(node => node.nodeId > nodeId);
    const start = firstAfter === -1 ? 0 : firstAfter;
    const needed = Math.ceil(ring.length / 2);
    // Where these would be too many, others come into turn.
    const skipped = needed > mostBusyPartners ? Math.floor(random() * needed) : 0;
    const partners = new Set<string>();
    for (let index = 0; index < Math.min(needed, mostBusyPartners); index++) {
        partners.add(ring[(start + (skipped + index) % needed) % ring.length]!.address);
    }
    return partners;
}

function chooseSome({ dataCentre, nodes, random }: PartnerQuery): Set<string> {
    const near = nodes.filter(node => node.dataCentre === dataCentre);
    const partners = new Set<string>();
    for (let count = 0; count < calmPartners; count++) {
        const isAway = near.length === 0 || count > 0 && random() < awayPart;
        const choice = isAway ? nodes : near;
        const partner = choice[Math.floor(random() * choice.length)];
        if (partner !== undefined) {
            partners.add(partner.address);
        }
    }
    return partners;
}
