import type { RandomSource } from "../randomSource.ts";
import type { KnownNode } from "./knownNode.ts";
import { maximumFullMeshNodes } from "./maximumFullMeshNodes.ts";

/** Input of {@link choosePartners}. */
interface PartnerQuery {
    nodeId: string;
    dataCentre: string;
    /** The other live nodes. */
    nodes: readonly KnownNode[];
    /** Addresses of the nodes from which this node gets store updates, the preferred ones first. */
    sources: readonly string[];
    /** Whether other nodes get store updates from this node, and therefore call it. */
    isDistributor: boolean;
    /** Number of the exchange round. */
    round: number;
    /** Whether this node needs a newer proof that its copy of the store is current. */
    isProofDue: boolean;
    /** Whether this node's requests compete with those of other nodes for endpoint capacity. */
    isBusy: boolean;
    random: RandomSource;
}

/** Partners per round of an idle node. With two, state reaches all nodes through the others within seconds. */
const idlePartnerCount = 2;
/**
 * In larger deployments an idle node calls one partner per round, which keeps its processor time low. In one of this many
 * rounds the partner of a node that is no hub is random, so that the node learns of other nodes.
 */
const roundsPerRandomPartner = 3;
/**
 * In larger deployments a node can't exchange state with all others in a round. Nodes of the same data centre use the same
 * endpoints, so under load a node calls this many of them in addition.
 */
const busyLocalPartnerCount = 2;
/**
 * Probability that the second random partner is chosen from all data centres. Traffic between data centres is billed by
 * the byte.
 */
const remoteProbability = 0.6;

/**
 * Chooses the nodes to exchange state with in a round.
 * @returns Their addresses.
 */
export function choosePartners(query: PartnerQuery): Set<string> {
    if (query.nodes.length < maximumFullMeshNodes) {
        return query.isBusy ? chooseRingSuccessors(query) : chooseRandom(query, idlePartnerCount);
    }
    const { nodes, dataCentre, isBusy, random } = query;
    const partners = isRandomRound(query) ? chooseRandom(query, 1) : new Set([chooseSource(query)]);
    const local = listAddresses(nodes.filter(node => node.dataCentre === dataCentre));
    for (let count = 0; isBusy && count < busyLocalPartnerCount; count++) {
        addRandom(partners, local, random);
    }
    return partners;
}

function isRandomRound({ sources, isDistributor, isProofDue, round }: PartnerQuery): boolean {
    const isLearningRound = !isDistributor && !isProofDue && round % roundsPerRandomPartner === 0;
    return sources.length === 0 || isLearningRound;
}

/** Chooses a random source, or the one whose proof is the newest, which is the first one for nodes that others get updates from. */
function chooseSource({ sources, isDistributor, isProofDue, random }: PartnerQuery): string {
    const index = isDistributor && isProofDue ? 0 : Math.floor(random() * sources.length);
    return sources[index]!;
}

/** Chooses the next half of the nodes on a ring ordered by id, so that in each pair one node calls the other. */
function chooseRingSuccessors({ nodeId, nodes }: PartnerQuery): Set<string> {
    const ring = nodes.toSorted((left, right) => left.nodeId < right.nodeId ? -1 : 1);
    const firstAfter = ring.findIndex(node => node.nodeId > nodeId);
    const start = firstAfter === -1 ? 0 : firstAfter;
    const partners = new Set<string>();
    for (let index = 0; index < Math.ceil(ring.length / 2); index++) {
        partners.add(ring[(start + index) % ring.length]!.address);
    }
    return partners;
}

/** Chooses random nodes of the same data centre, except for the last one, which may be in any data centre. */
function chooseRandom({ dataCentre, nodes, random }: PartnerQuery, count: number): Set<string> {
    const all = listAddresses(nodes);
    const local = listAddresses(nodes.filter(node => node.dataCentre === dataCentre));
    const partners = new Set<string>();
    for (let index = idlePartnerCount - count; index < idlePartnerCount; index++) {
        const isRemote = local.length === 0 || index > 0 && random() < remoteProbability;
        addRandom(partners, isRemote ? all : local, random);
    }
    return partners;
}

function addRandom(partners: Set<string>, addresses: readonly string[], random: RandomSource): void {
    const partner = addresses[Math.floor(random() * addresses.length)];
    if (partner !== undefined) {
        partners.add(partner);
    }
}

function listAddresses(nodes: readonly KnownNode[]): string[] {
    return nodes.map(({ address }) => address);
}
