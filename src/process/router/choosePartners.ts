import type { RandomSource } from "../randomSource.ts";
import type { KnownNode } from "./knownNode.ts";
import { mostAcquainted } from "./mostAcquainted.ts";

/** What the choice of partners depends on. */
interface PartnerQuery {
    nodeId: string;
    dataCentre: string;
    /** The other nodes that live. */
    nodes: readonly KnownNode[];
    /** Addresses of the nodes from which this one hears news. */
    sources: readonly string[];
    /** Whether others hear news from this one, and so speak to it. */
    isHub: boolean;
    /** Number of the round. */
    round: number;
    /** Whether this node's requests contend with those of others for room. */
    isBusy: boolean;
    random: RandomSource;
}

/** With two partners a round, state passes on over the others within seconds. */
const calmPartners = 2;
/**
 * Of more nodes each asks one in a round, which keeps the processor time of calm nodes low, and in one round of so many it is one by
 * chance, from whom it learns of other nodes.
 */
const roundsOfChance = 3;
/**
 * Of more nodes each can't hear from all within a round. Those of its data centre use the same endpoints, so under load it speaks
 * to so many of these besides.
 */
const busyNeighbours = 2;
/** Of the second partners, this part is sought in all data centres; what crosses between them is paid by the byte. */
const awayPart = 0.6;

/**
 * Chooses the nodes to exchange state with in a round.
 * @returns Their addresses.
 */
export function choosePartners(query: PartnerQuery): Set<string> {
    if (query.nodes.length < mostAcquainted) {
        return query.isBusy ? chooseNeighbours(query) : chooseSome(query, calmPartners);
    }
    const { sources, isHub, nodes, dataCentre, isBusy, random, round } = query;
    const isChance = sources.length === 0 || !isHub && round % roundsOfChance === 0;
    const partners = isChance ? chooseSome(query, 1) : new Set<string>();
    if (!isChance) {
        addOne(partners, sources, random);
    }
    const near = listAddresses(nodes.filter(node => node.dataCentre === dataCentre));
    for (let count = 0; isBusy && count < busyNeighbours; count++) {
        addOne(partners, near, random);
    }
    return partners;
}

/** Chooses the next half of all nodes by id, of a ring, so that each pair has one caller. */
function chooseNeighbours({ nodeId, nodes }: PartnerQuery): Set<string> {
    const ring = nodes.toSorted((left, right) => left.nodeId < right.nodeId ? -1 : 1);
    const firstAfter = ring.findIndex(node => node.nodeId > nodeId);
    const start = firstAfter === -1 ? 0 : firstAfter;
    const partners = new Set<string>();
    for (let index = 0; index < Math.ceil(ring.length / 2); index++) {
        partners.add(ring[(start + index) % ring.length]!.address);
    }
    return partners;
}

/** Chooses nodes by chance; all but one of them, which may be anywhere, in the same data centre. */
function chooseSome({ dataCentre, nodes, random }: PartnerQuery, count: number): Set<string> {
    const all = listAddresses(nodes);
    const near = listAddresses(nodes.filter(node => node.dataCentre === dataCentre));
    const partners = new Set<string>();
    for (let index = calmPartners - count; index < calmPartners; index++) {
        const isAway = near.length === 0 || index > 0 && random() < awayPart;
        addOne(partners, isAway ? all : near, random);
    }
    return partners;
}

function addOne(partners: Set<string>, addresses: readonly string[], random: RandomSource): void {
    const partner = addresses[Math.floor(random() * addresses.length)];
    if (partner !== undefined) {
        partners.add(partner);
    }
}

function listAddresses(nodes: readonly KnownNode[]): string[] {
    return nodes.map(({ address }) => address);
}
