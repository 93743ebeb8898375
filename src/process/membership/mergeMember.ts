import type { Member } from "./member.ts";
import { MemberState } from "./memberState.ts";

/** Within one incarnation, the state with the higher rank wins. */
const stateRanks: Readonly<Record<MemberState, number>> = {
    [MemberState.Alive]: 0,
    [MemberState.Suspect]: 1,
    [MemberState.Leaving]: 2,
    [MemberState.Dead]: 3,
};

/**
 * Merges two records of a node. The merge is commutative, associative and idempotent, so that views converge in whatever
 * order gossip arrives.
 *
 * The rules are those of SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group
 * Membership Protocol", DSN 2002, section 4.2) with one difference: a dead record supersedes only records of the
 * same or a lower incarnation, so that a node that was declared dead by mistake can rejoin.
 * @param current - Current record. It is returned itself if the received record changes nothing.
 * @param received - Received record.
 */
export function mergeMember(current: Member, received: Member): Member {
    if (received.incarnation !== current.incarnation) {
        return received.incarnation > current.incarnation ? received : current;
    }
    const winner = compareSameIncarnation(received, current) > 0 ? received : current;
    const configurationVersion = Math.max(current.configurationVersion, received.configurationVersion);
    return winner.configurationVersion === configurationVersion ? winner : { ...winner, configurationVersion };
}

function compareSameIncarnation(left: Member, right: Member): number {
    const byState = stateRanks[left.state] - stateRanks[right.state];
    if (byState !== 0) {
        return byState;
    }
    // The last two comparisons keep the merge commutative if two processes ran with the same id.
    const byAddress = compareText(left.peerAddress, right.peerAddress);
    return byAddress !== 0 ? byAddress : compareText(left.dataCentre, right.dataCentre);
}

function compareText(left: string, right: string): number {
    if (left === right) {
        return 0;
    }
    return left < right ? -1 : 1;
}
