import { create } from "@bufbuild/protobuf";
import { type MemberRecord, MemberRecordSchema } from "../../wire/generated/foxlead/peer/v1/peer_pb.ts";
import type { Member } from "./member.ts";
import { MemberState } from "./memberState.ts";

const states: ReadonlySet<string> = new Set(Object.values(MemberState));

/** Turns member records into their wire form and back. */
export const memberCodec = {
    /** Encodes a record. */
    encode(member: Member): MemberRecord {
        return create(MemberRecordSchema, {
            ...member,
            incarnation: BigInt(member.incarnation),
            configurationVersion: BigInt(member.configurationVersion),
        });
    },

    /** Decodes the records that make sense; others, of a newer release perhaps, are left out. */
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
