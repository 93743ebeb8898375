import type { KnownNode } from "./knownNode.ts";

/** A node that no node has heard from for this long is removed. Exchanges happen several times within it. */
const expiryMilliseconds = 4_000;

/** The other nodes, as reported by themselves and by each other. */
export class NodeTable {
    private readonly ownId: string;
    private readonly nodes = new Map<string, KnownNode>();

    private constructor(ownId: string) {
        this.ownId = ownId;
    }

    /** Creates an empty table. */
    static create(ownId: string): NodeTable {
        return new NodeTable(ownId);
    }

    /** Checks if {@link update} would have an effect for a node that was last heard from at this time. */
    isNewer(nodeId: string, heardAt: number): boolean {
        return nodeId !== this.ownId && heardAt > (this.nodes.get(nodeId)?.heardAt ?? -Infinity);
    }

    /**
     * Adds or updates a node. Removes an earlier process at the same address.
     * @param node - The node and when it was last heard from.
     */
    update(node: KnownNode): void {
        if (!this.isNewer(node.nodeId, node.heardAt)) {
            return;
        }
        const known = this.nodes.get(node.nodeId);
        if (known !== undefined) {
            Object.assign(known, node);
            return;
        }
        for (const [nodeId, other] of this.nodes) {
            if (other.address === node.address && other.heardAt <= node.heardAt) {
                this.nodes.delete(nodeId);
            }
        }
        this.nodes.set(node.nodeId, { ...node });
    }

    /** Gets the nodes that have not expired. */
    getLiveNodes(now: number): KnownNode[] {
        for (const [nodeId, { heardAt }] of this.nodes) {
            if (now - heardAt > expiryMilliseconds) {
                this.nodes.delete(nodeId);
            }
        }
        return [...this.nodes.values()];
    }
}
