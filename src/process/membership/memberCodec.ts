import { create } from "@bufbuild/protobuf";
import { type MemberRecord, MemberRecordSchema } from "../../wire/generated/foxlead/peer/v1/peer_pb.ts";
import type { Member } from "./member.ts";
import { MemberState } from "./memberState.ts";

const states: ReadonlySet<string> = new Set(Object.values(MemberState));

/** Encodes and decodes member records. */
export const memberCodec = {
    /** Encodes a record. */
    encode(member: Member): MemberRecord {
        return create(MemberRecordSchema, {
            ...member,
            incarnation: BigInt(member.incarnation),
            configurationVersion: BigInt(member.configurationVersion),
        });
    },

    /** Decodes records. Skips invalid ones, which a newer release may send. */
    decodeAll(records: readonly MemberRecord[]): Member[] {
        const members: Member[] = [];
        for (const record of records) {
            const incarnation = Number(record.incarnation);
            const configurationVersion = Number(record.configurationVersion);
            const isSafe = Number.isSafeInteger(incarnation) && Number.isSafeInteger(configurationVersion);
            if (record.nodeId === "" || !isState(record.state) || !isSafe) {
                continue;
            }
            const { nodeId, state, peerAddress, dataCentre } = record;
            members.push({ nodeId, incarnation, state, peerAddress, dataCentre, configurationVersion });
        }
        return members;
    },
};

function isState(state: string): state is MemberState {
    return states.has(state);
}
