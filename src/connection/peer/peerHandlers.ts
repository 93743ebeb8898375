import type { MessageInitShape } from "@bufbuild/protobuf";
import type {
    AnnounceConfigurationRequest,
    AnnounceConfigurationResponseSchema,
    ClaimRequest,
    ClaimResponseSchema,
    GetConfigurationRequest,
    GetConfigurationResponseSchema,
    GetKeptAnswerRequest,
    GetKeptAnswerResponseSchema,
    GossipRequest,
    GossipResponseSchema,
    TakeKeptAnswersRequest,
    TakeKeptAnswersResponseSchema,
} from "../../wire/generated/foxlead/peer/v1/peer_pb.ts";

/** Handlers for the calls of peers. If a handler throws, the caller receives an error. */
export interface PeerHandlers {
    gossip(request: GossipRequest): Promise<MessageInitShape<typeof GossipResponseSchema>>;
    announceConfiguration(
        request: AnnounceConfigurationRequest,
    ): Promise<MessageInitShape<typeof AnnounceConfigurationResponseSchema>>;
    getConfiguration(
        request: GetConfigurationRequest,
    ): Promise<MessageInitShape<typeof GetConfigurationResponseSchema>>;
    claim(request: ClaimRequest): Promise<MessageInitShape<typeof ClaimResponseSchema>>;
    getKeptAnswer(request: GetKeptAnswerRequest): Promise<MessageInitShape<typeof GetKeptAnswerResponseSchema>>;
    takeKeptAnswers(request: TakeKeptAnswersRequest): Promise<MessageInitShape<typeof TakeKeptAnswersResponseSchema>>;
}
