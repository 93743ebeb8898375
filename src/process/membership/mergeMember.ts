import type { Member } from "./member.ts";
import { MemberState } from "./memberState.ts";

/** Within one incarnation a later state of this order beats an earlier one. */
const stateRanks: Readonly<Record<MemberState, number>> = {
    [MemberState.Alive]: 0,
    [MemberState.Suspect]: 1,
    [MemberState.Leaving]: 2,
    [MemberState.Dead]: 3,
};

/**
 * Merges two records of one node. The result does not depend on the order of the arguments, and merging a record
 * twice changes nothing, so that views converge whatever the order in which gossip arrives.
 *
 * The rules are those of SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group
 * Membership Protocol", DSN 2002, section 4.2) with one difference: a dead record beats only records of its own or a
 * lower incarnation, so that a node which is declared dead by mistake can come back.
 * @param held - The record that is held.
 * @param heard - The record that has arrived. `held` itself is returned where `heard` brings nothing new.
 */
export function mergeMember(held: Member, heard: Member): Member {
    if (heard.incarnation !== held.incarnation) {
        return heard.incarnation > held.incarnation ? heard : held;
    }
    const winner = compareSameIncarnation(heard, held) > 0 ? heard : held;
    const configurationVersion = Math.max(held.configurationVersion, heard.configurationVersion);
    return winner.configurationVersion === configurationVersion ? winner : { ...winner, configurationVersion };
}

function compareSameIncarnation(left: Member, right: Member): number {
    const byState = stateRanks[left.state] - stateRanks[right.state];
    if (byState !== 0) {
        return byState;
    }
    // The last two keep the merge free of order where two processes ran under one name.
    const byAddress = compareText(left.peerAddress, right.peerAddress);
    return byAddress !== 0 ? byAddress : compareText(left.dataCentre, right.dataCentre);
}

function compareText(left: string, right: string): number {
    if (left === right) {
        return 0;
    }
    return left < right ? -1 : 1;
}
