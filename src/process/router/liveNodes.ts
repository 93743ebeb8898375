import type { LimitSharers } from "../../request/relay/limits/limitSharers.ts";
import type { CanaryOrder } from "../../request/relay/quarantine/canaryOrder.ts";
import { chooseLimitSharers } from "./chooseLimitSharers.ts";
import type { KnownNode } from "./knownNode.ts";
import { NodeTable } from "./nodeTable.ts";
import type { RouterNodeOptions } from "./routerNodeOptions.ts";
import { SlidingMaximum } from "./slidingMaximum.ts";

type LiveNodesOptions = Pick<RouterNodeOptions, "nodeId" | "settings" | "clock" | "owners">;

/**
 * Initially assumed number of nodes. A node that has just started knows few others, and takes a small share of the limits for
 * all nodes together until it knows more.
 */
const initialNodeCount = 9;

/** The nodes that are alive: their number, and what falls to this one among them. */
export class LiveNodes {
    /** The other nodes. */
    readonly table: NodeTable;
    private readonly options: LiveNodesOptions;
    private readonly maximumCount: SlidingMaximum;

    private constructor(options: LiveNodesOptions) {
        this.options = options;
        this.table = NodeTable.create(options.nodeId);
        this.maximumCount = SlidingMaximum.create(initialNodeCount, options.clock.getMonotonicTime());
    }

    /** Creates an instance that knows no other node yet. */
    static create(options: LiveNodesOptions): LiveNodes {
        return new LiveNodes(options);
    }

    /** Gets the other live nodes. */
    getOthers(): KnownNode[] {
        return this.table.getLiveNodes(this.options.clock.getMonotonicTime());
    }

    /** Gets the ids of the other live nodes. */
    getOtherIds(): string[] {
        return this.getOthers().map(({ nodeId }) => nodeId);
    }

    /** Gets the number of live nodes, including this one. */
    getCount(): number {
        return 1 + this.getOthers().length;
    }

    /** Gets the highest number of nodes of the last seconds, so that limits for all nodes together also hold while nodes restart. */
    getHighestCount(): number {
        return this.maximumCount.add(this.getCount(), this.options.clock.getMonotonicTime());
    }

    /** Chooses the nodes that share an endpoint's rate limit. See {@link chooseLimitSharers}. */
    chooseLimitSharers(endpoint: { id: string; dataCentre: string; }, maximumSharers: number): LimitSharers {
        const { nodeId, settings: { dataCentre }, owners } = this.options;
        const nodes = [{ nodeId, dataCentre }, ...this.getOthers()];
        return chooseLimitSharers({ endpoint, maximumSharers, nodeId, nodes, owners });
    }

    /** Gets the place of this node among the live nodes, in an order that all of them have for the same part of prompts. */
    getCanaryOrder(key: string): CanaryOrder {
        const { nodeId, owners } = this.options;
        const nodeIds = [nodeId, ...this.getOtherIds()];
        return { rank: owners.getOwners(key, nodeIds, nodeIds.length).indexOf(nodeId), nodes: nodeIds.length };
    }
}
