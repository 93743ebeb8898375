import type { RendezvousOwners } from "./rendezvousOwners.ts";

/** The last result for a key. */
interface CachedOwners {
    nodeIds: readonly string[];
    count: number;
    owners: readonly string[];
}

/** Maximum number of cached keys. A node of a router asks for fewer: its duties, and one per data centre. */
const maximumKeys = 64;

/**
 * Caches the owners of each key until the nodes change. A node asks several times a second for the owners of the same keys, and
 * hashes and sorts all nodes each time otherwise.
 */
export class OwnersCache implements Pick<RendezvousOwners, "getOwners"> {
    private readonly owners: Pick<RendezvousOwners, "getOwners">;
    private readonly results = new Map<string, CachedOwners>();

    private constructor(owners: Pick<RendezvousOwners, "getOwners">) {
        this.owners = owners;
    }

    /** Creates an empty cache. */
    static create(owners: Pick<RendezvousOwners, "getOwners">): OwnersCache {
        return new OwnersCache(owners);
    }

    /** Gets the owners of a key in order of preference. See {@link RendezvousOwners.getOwners}. */
    getOwners(key: string, nodes: Iterable<string>, count: number): string[] {
        const nodeIds = [...nodes];
        const known = this.results.get(key);
        if (known !== undefined && known.count === count && hasSameItems(known.nodeIds, nodeIds)) {
            return [...known.owners];
        }
        const owners = this.owners.getOwners(key, nodeIds, count);
        if (known === undefined && this.results.size >= maximumKeys) {
            this.results.clear();
        }
        this.results.set(key, { nodeIds, count, owners });
        return [...owners];
    }
}

function hasSameItems(left: readonly string[], right: readonly string[]): boolean {
    if (left.length !== right.length) {
        return false;
    }
    for (let index = 0; index < left.length; index++) {
        if (left[index] !== right[index]) {
            return false;
        }
    }
    return true;
}
