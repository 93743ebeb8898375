import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Member } from "../../../src/process/membership/member.ts";
import { MembershipView } from "../../../src/process/membership/membershipView.ts";
import { MemberState } from "../../../src/process/membership/memberState.ts";
import { mergeMember } from "../../../src/process/membership/mergeMember.ts";

const parameters = { seed: 20_260_401, numRuns: 500 };

const memberArbitrary: fc.Arbitrary<Member> = fc.record({
    nodeId: fc.constant("other"),
    incarnation: fc.integer({ min: 0, max: 3 }),
    state: fc.constantFrom(...Object.values(MemberState)),
    peerAddress: fc.constantFrom("10.0.0.1:1", "10.0.0.2:1"),
    dataCentre: fc.constantFrom("a", "b"),
    configurationVersion: fc.integer({ min: 0, max: 3 }),
}, { noNullPrototype: true });

function mergeAll(members: readonly Member[]): Member | undefined {
    const view = MembershipView.create({ nodeId: "self", peerAddress: "x", dataCentre: "a", incarnation: 1 });
    view.applyRecords(members, 0);
    return view.getMember("other");
}

describe("mergeMember", () => {
    it("is commutative, associative and idempotent", () => {
        fc.assert(
            fc.property(memberArbitrary, memberArbitrary, memberArbitrary, (left, right, third) => {
                const merged = mergeMember(left, right);
                assert.deepEqual(mergeMember(right, left), merged);
                assert.deepEqual(mergeMember(merged, third), mergeMember(left, mergeMember(right, third)));
                assert.equal(mergeMember(merged, left), merged);
                assert.equal(mergeMember(merged, merged), merged);
            }),
            parameters,
        );
    });

    it("converges to the same record in any order", () => {
        const orders = fc.array(memberArbitrary, { minLength: 1, maxLength: 8 })
            .chain(members =>
                fc.tuple(fc.constant(members), fc.shuffledSubarray(members, { minLength: members.length }))
            );
        fc.assert(
            fc.property(orders, ([members, shuffled]) => {
                assert.deepEqual(mergeAll(shuffled), mergeAll(members));
                assert.deepEqual(mergeAll([...members, ...members]), mergeAll(members));
            }),
            parameters,
        );
    });

    it("lets a refutation supersede a suspicion or death of an earlier incarnation", () => {
        fc.assert(
            fc.property(memberArbitrary, memberArbitrary, (current, received) => {
                const refutation: Member = {
                    ...received,
                    state: MemberState.Alive,
                    incarnation: current.incarnation + 1,
                };
                assert.equal(mergeMember(current, refutation).state, MemberState.Alive);
                const oldDeath: Member = { ...received, state: MemberState.Dead, incarnation: current.incarnation - 1 };
                assert.equal(mergeMember(current, oldDeath), current);
            }),
            parameters,
        );
    });
});
