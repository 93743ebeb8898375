import type { MessageInitShape } from "@bufbuild/protobuf";
import type { NodeRecordSchema, NodeState } from "../../wire/generated/foxlead/router/v1/router_pb.ts";
import type { KnownNode } from "./knownNode.ts";
import type { PeerExchangeOptions } from "./peerExchangeOptions.ts";

type NodeRecordsOptions = Pick<
    PeerExchangeOptions,
    "nodeId" | "address" | "dataCentre" | "links" | "storeWatch" | "nodes" | "overload" | "isReady" | "clock" | "random"
>;
type NodeRecordInit = MessageInitShape<typeof NodeRecordSchema>;

/** Minimum number of other nodes in a message. A message holds only some; over a few rounds each node gets all. */
const minimumNodesPerMessage = 10;
/** Fraction of the nodes in a message of a large deployment, so that each is seen several times before it would expire. */
const nodesPerMessageFraction = 1 / 8;
/** A peer that knows less than this fraction of the nodes has just started, and gets more of them in one message. */
const newcomerFraction = 0.5;
/** Maximum number of other nodes in a message to such a peer. */
const nodesPerNewcomerMessage = 400;
const percent = 100;

/** Converts what is known of the nodes, this one and others, to and from the records in messages between peers. */
export class NodeRecords {
    private readonly options: NodeRecordsOptions;

    private constructor(options: NodeRecordsOptions) {
        this.options = options;
    }

    /** Creates the converter. */
    static create(options: NodeRecordsOptions): NodeRecords {
        return new NodeRecords(options);
    }

    /** Creates the record of this node. */
    createOwn(): NodeRecordInit {
        const { nodeId, address, dataCentre, storeWatch, links, overload, isReady } = this.options;
        return {
            nodeId,
            address,
            dataCentre,
            age: 0,
            isWithoutStore: storeWatch.isWithoutStore(),
            tunnelAddress: links.getTunnelAddress(),
            unreachablePercent: Math.round(links.getUnreachableFraction() * percent),
            lag: overload.getLag(),
            isOutOfRotation: !isReady(),
        };
    }

    /**
     * Creates the records of some of the other nodes.
     * @param live - The other live nodes.
     * @param knownToPeer - Number of nodes that the receiver knows; Infinity if this is unknown.
     */
    createOthers(live: readonly KnownNode[], knownToPeer: number): NodeRecordInit[] {
        const { random, clock } = this.options;
        const now = clock.getMonotonicTime();
        const first = Math.floor(random() * live.length);
        const selected = [...live.slice(first), ...live.slice(0, first)].slice(0, getMaximumCount(live, knownToPeer));
        return selected.map(node => ({
            nodeId: node.nodeId,
            address: node.address,
            dataCentre: node.dataCentre,
            isWithoutStore: node.isWithoutStore,
            tunnelAddress: node.tunnelAddress ?? "",
            unreachablePercent: Math.round((node.unreachableFraction ?? 0) * percent),
            lag: node.lag ?? 0,
            isOutOfRotation: node.isOutOfRotation ?? false,
            age: Math.max(0, Math.round(now - node.heardAt)),
        }));
    }

    /** Applies what a peer tells of itself and of others. */
    apply({ sender, nodes: others }: Pick<NodeState, "sender" | "nodes">): void {
        const { nodes, clock } = this.options;
        const now = clock.getMonotonicTime();
        for (const record of sender === undefined ? others : [sender, ...others]) {
            // Most of what peers tell of others is older than what this node knows.
            if (!nodes.isNewer(record.nodeId, now - record.age)) {
                continue;
            }
            const { nodeId, address, dataCentre, age, isWithoutStore, tunnelAddress, unreachablePercent } = record;
            const { lag, isOutOfRotation } = record;
            nodes.update({
                nodeId,
                address,
                dataCentre,
                isWithoutStore,
                tunnelAddress,
                unreachableFraction: unreachablePercent / percent,
                lag,
                isOutOfRotation,
                heardAt: now - age,
            });
        }
    }
}

function getMaximumCount(live: readonly KnownNode[], knownToPeer: number): number {
    const isNewcomer = knownToPeer < live.length * newcomerFraction;
    return isNewcomer
        ? nodesPerNewcomerMessage
        : Math.max(minimumNodesPerMessage, Math.ceil(live.length * nodesPerMessageFraction));
}
