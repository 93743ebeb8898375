import type { RendezvousOwners } from "../membership/rendezvousOwners.ts";
import type { KnownNode } from "./knownNode.ts";
import { listHubs } from "./listHubs.ts";
import { listStoreWatchers } from "./listStoreWatchers.ts";

/** From whom a node hears what is new in the store. */
interface NewsSources {
    /** Whether this node brings news into its data centre. */
    isHub: boolean;
    /** host:port of the peers to ask. */
    addresses: string[];
}

/**
 * Lists from whom a node hears what is new in the store: a hub from the nodes that follow the store, any other from the hubs of
 * its data centre. So news is two steps away. By partners of chance alone it takes more rounds the more nodes there are, and those
 * whom it reaches last would follow the store by themselves, each for a call a change.
 * @param own - The node itself.
 * @param others - The other nodes that live.
 * @param owners - Assigns duties to nodes without agreement.
 */
export function listNewsSources(
    own: Pick<KnownNode, "nodeId" | "dataCentre" | "isWithoutStore">,
    others: readonly KnownNode[],
    owners: RendezvousOwners,
): NewsSources {
    const near = others.filter(({ dataCentre }) => dataCentre === own.dataCentre).map(({ nodeId }) => nodeId);
    const hubs = listHubs(own.dataCentre, [...near, own.nodeId], owners);
    const isHub = hubs.includes(own.nodeId);
    const sources = new Set(isHub ? listStoreWatchers([...others, own], owners).following : hubs);
    return { isHub, addresses: others.filter(({ nodeId }) => sources.has(nodeId)).map(({ address }) => address) };
}
