import type { MessageInitShape } from "@bufbuild/protobuf";
import type {
    DemandRecord,
    DemandRecordSchema,
    EndpointRecord,
    EndpointRecordSchema,
} from "../../wire/generated/foxlead/peer/v1/peer_pb.ts";

/** What rides on gossip beside the membership. The membership does not look into it. */
export interface GossipPayloads {
    /**
     * Gets endpoint records to send now.
     * @param budgetBytes - Most bytes that their encoded form may take.
     */
    collectEndpointRecords(budgetBytes: number): MessageInitShape<typeof EndpointRecordSchema>[];
    /** Takes in the endpoint records of a peer. */
    applyEndpointRecords(records: EndpointRecord[]): void;
    /** Gets the own demand records to send now, within so many bytes. */
    collectDemandRecords(budgetBytes: number): MessageInitShape<typeof DemandRecordSchema>[];
    /** Takes in the demand that a peer reported of itself. */
    applyDemandRecords(records: DemandRecord[], fromNodeId: string): void;
}
