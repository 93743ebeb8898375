import type { MessageInitShape } from "@bufbuild/protobuf";
import type {
    DemandRecord,
    DemandRecordSchema,
    EndpointRecord,
    EndpointRecordSchema,
} from "../../wire/generated/foxlead/peer/v1/peer_pb.ts";

/** Records sent along with gossip messages. The membership code does not interpret them. */
export interface GossipPayloads {
    /**
     * Gets endpoint records to send now.
     * @param budgetBytes - Most bytes of the encoded records.
     */
    collectEndpointRecords(budgetBytes: number): MessageInitShape<typeof EndpointRecordSchema>[];
    /** Applies the endpoint records of a peer. */
    applyEndpointRecords(records: EndpointRecord[]): void;
    /** Gets this node's demand records to send now, with at most the given encoded size. */
    collectDemandRecords(budgetBytes: number): MessageInitShape<typeof DemandRecordSchema>[];
    /** Applies the demand records of a peer. */
    applyDemandRecords(records: DemandRecord[], fromNodeId: string): void;
}
