import createHasher, { type XXHashAPI } from "xxhash-wasm";

/** A node and its weight for a key. */
interface WeightedNode {
    nodeId: string;
    weight: number;
}

/**
 * Assigns keys to nodes by rendezvous hashing (Thaler, Ravishankar: "Using name-based mappings to increase hit rates",
 * IEEE/ACM Transactions on Networking, 1998): when a node is removed, only its own keys move.
 */
export class RendezvousOwners {
    private readonly hasher: XXHashAPI;

    private constructor(hasher: XXHashAPI) {
        this.hasher = hasher;
    }

    /** Loads the hash function. */
    static async create(): Promise<RendezvousOwners> {
        return new RendezvousOwners(await createHasher());
    }

    /**
     * Gets the owners of a key in order of preference. The order of `nodeIds` does not matter.
     * @param key - Key to assign.
     * @param nodeIds - Nodes to choose from.
     * @param count - Most owners to return.
     */
    getOwners(key: string, nodeIds: Iterable<string>, count: number): string[] {
        const seed = this.hasher.h32(key);
        const weighted: WeightedNode[] = [];
        for (const nodeId of nodeIds) {
            weighted.push({ nodeId, weight: this.hasher.h32(nodeId, seed) });
        }
        weighted.sort(compareWeight);
        return weighted.slice(0, count).map(node => node.nodeId);
    }
}

function compareWeight(left: WeightedNode, right: WeightedNode): number {
    if (left.weight !== right.weight) {
        return right.weight - left.weight;
    }
    return left.nodeId < right.nodeId ? -1 : 1;
}
