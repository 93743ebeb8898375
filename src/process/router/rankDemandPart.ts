import { create } from "@bufbuild/protobuf";
import type { RankDemands } from "../../request/admission/ranks/rankDemands.ts";
import { type NodeState, RankDemandRecordSchema } from "../../wire/generated/foxlead/router/v1/router_pb.ts";
import type { PeerStatePart } from "./peerStatePart.ts";

/** The demand by rank in the state that nodes exchange. */
export class RankDemandPart implements PeerStatePart {
    private readonly demands: RankDemands;

    private constructor(demands: RankDemands) {
        this.demands = demands;
    }

    /** Creates the part for the demand that a node knows. */
    static create(demands: RankDemands): RankDemandPart {
        return new RankDemandPart(demands);
    }

    createRecords(now: number) {
        return {
            rankDemands: this.demands.listOwn(now).map(({ rank, demand, admitted }) =>
                create(RankDemandRecordSchema, { rank, demand, admitted })
            ),
        };
    }

    applyRecords({ sender, demand, rankDemands }: NodeState, now: number): void {
        if (sender !== undefined) {
            this.demands.setPeerDemands(sender.nodeId, rankDemands, now, demand === 0);
        }
    }
}
