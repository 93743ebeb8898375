import type { RendezvousOwners } from "../membership/rendezvousOwners.ts";
import type { KnownNode } from "./knownNode.ts";
import { listHubs } from "./listHubs.ts";
import { listStoreWatchers } from "./listStoreWatchers.ts";

/** The peers from which a node gets store updates. */
interface UpdateSources {
    /** Whether the node is a hub, which brings updates into its data centre. */
    isHub: boolean;
    /** Addresses of the peers, as host:port. */
    addresses: string[];
}

/**
 * Lists the peers from which a node gets store updates: the store watchers for a hub, and the hubs of its data centre for any
 * other node. An update therefore reaches every node in two hops. With random partners only, the number of rounds grows with
 * the number of nodes, and the nodes that are reached last would watch the store themselves, at one call per change each.
 * @param own - The node.
 * @param others - The other live nodes.
 * @param owners - Assigns duties to nodes without coordination.
 */
export function listUpdateSources(
    own: Pick<KnownNode, "nodeId" | "dataCentre" | "isWithoutStore">,
    others: readonly KnownNode[],
    owners: Pick<RendezvousOwners, "getOwners">,
): UpdateSources {
    const localIds = others.filter(({ dataCentre }) => dataCentre === own.dataCentre).map(({ nodeId }) => nodeId);
    const hubs = listHubs(own.dataCentre, [...localIds, own.nodeId], owners);
    const isHub = hubs.includes(own.nodeId);
    const sources = new Set(isHub ? listStoreWatchers([...others, own], owners).watching : hubs);
    return { isHub, addresses: others.filter(({ nodeId }) => sources.has(nodeId)).map(({ address }) => address) };
}
