import type { RendezvousOwners } from "../membership/rendezvousOwners.ts";
import type { KnownNode } from "./knownNode.ts";
import { listHubs } from "./listHubs.ts";
import { listStoreWatchers } from "./listStoreWatchers.ts";

/** The peers from which a node gets store updates. */
interface UpdateSources {
    /** Whether other nodes get updates from the node: it is a hub, which brings them into its data centre, or watches the store. */
    isDistributor: boolean;
    /** Addresses of the peers, as host:port; those that watch the store in the order in which they take over from each other. */
    addresses: string[];
}

/**
 * Lists the peers from which a node gets store updates: the store watchers for a hub or another watcher, and the hubs of its data centre
 * for any other node. An update therefore reaches every node in two hops. With random partners only, the number of rounds grows with
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
    const { watching } = listStoreWatchers([...others, own], owners);
    const isDistributor = hubs.includes(own.nodeId) || watching.includes(own.nodeId);
    const addresses = new Map(others.map(({ nodeId, address }) => [nodeId, address]));
    const sources = (isDistributor ? watching : hubs).map(nodeId => addresses.get(nodeId));
    return { isDistributor, addresses: sources.filter(address => address !== undefined) };
}
