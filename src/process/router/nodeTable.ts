import type { KnownNode } from "./knownNode.ts";
/** A node that nobody heard of for so long is taken as gone; exchanges come several times in that time. */
const goneMilliseconds = 4_000;

/** The other nodes, as heard from themselves and from each other. */
export class NodeTable {
    private readonly ownId: string;
    private readonly nodes = new Map<string, KnownNode>();

    private constructor(ownId: string) {
        this.ownId = ownId;
    }

    /** Creates a table that knows of no other node. */
    static create(ownId: string): NodeTable {
        return new NodeTable(ownId);
    }

    /**
     * Notes that a node exists. An older start at the same address is forgotten.
     * @param node - The node and when it was last heard of.
     */
    note(node: KnownNode): void {
        if (node.nodeId === this.ownId) {
            return;
        }
        const known = this.nodes.get(node.nodeId);
        if (known !== undefined) {
            if (node.heardAt > known.heardAt) {
                known.heardAt = node.heardAt;
                known.isWithoutStore = node.isWithoutStore;
            }
            return;
        }
        for (const [nodeId, other] of this.nodes) {
            if (other.address === node.address && other.heardAt <= node.heardAt) {
                this.nodes.delete(nodeId);
            }
        }
        this.nodes.set(node.nodeId, { ...node });
    }

    /** Gets the nodes that are not gone. */
    getLiveNodes(now: number): KnownNode[] {
        for (const [nodeId, { heardAt }] of this.nodes) {
            if (now - heardAt > goneMilliseconds) {
                this.nodes.delete(nodeId);
            }
        }
        return [...this.nodes.values()];
    }
}
