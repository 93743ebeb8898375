import type { MessageInitShape } from "@bufbuild/protobuf";
import type {
    DemandRecord,
    DemandRecordSchema,
    EndpointRecord,
    EndpointRecordSchema,
} from "../../wire/generated/foxlead/peer/v1/peer_pb.ts";

/**
 * Callbacks that provide and apply the endpoint and demand records in gossip messages. The membership code does not interpret
 * the records.
 */
export interface GossipPayloads {
    /**
     * Gets the endpoint records for one message. An endpoint record is the state and load of one endpoint, as one node
     * observed them.
     * @param budgetBytes - Maximum encoded size of the records.
     */
    collectEndpointRecords(budgetBytes: number): MessageInitShape<typeof EndpointRecordSchema>[];
    /** Applies the endpoint records of a peer. */
    applyEndpointRecords(records: EndpointRecord[]): void;
    /**
     * Gets this node's demand records for one message. A demand record is the request rate of one customer at one node; the
     * nodes need it to enforce the customers' rate limits together.
     * @param budgetBytes - Maximum encoded size of the records. May be exceeded in a small cluster.
     */
    collectDemandRecords(budgetBytes: number): MessageInitShape<typeof DemandRecordSchema>[];
    /** Applies the demand records of a peer, which replace its earlier ones. */
    applyDemandRecords(records: DemandRecord[], fromNodeId: string): void;
}
