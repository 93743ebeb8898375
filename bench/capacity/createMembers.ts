import type { Member } from "../../src/process/membership/member.ts";
import { MemberState } from "../../src/process/membership/memberState.ts";
import { designSize } from "./designSize.ts";

/** Creates records of live members named `entry-0`, `entry-1` and so on. */
export function createMembers(count: number): Member[] {
    return Array.from({ length: count }, (_, index) => ({
        nodeId: `entry-${index}`,
        incarnation: 1_790_000_000_000 + index,
        state: MemberState.Alive,
        peerAddress: `10.${index % designSize.dataCentres}.${Math.floor(index / 200)}.${1 + index % 200}:7400`,
        dataCentre: `data-centre-${index % designSize.dataCentres}`,
        configurationVersion: 12_345,
    }));
}
