import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CopyProof } from "../../../src/process/router/copyProof.ts";
import { FakeClock } from "../../support/fakeClock.ts";

describe("CopyProof", () => {
    function createFixture(confirmedTimes: number[]) {
        const clock = FakeClock.create();
        const followers = confirmedTimes.map((_, index) => ({ getConfirmedTime: () => confirmedTimes[index]! }));
        return { clock, followers, proof: CopyProof.create({ clock, followers, configurationMilliseconds: 4_000 }) };
    }

    it("is as new as the oldest section that this node has confirmed, or as the proof of a peer", () => {
        const { proof } = createFixture([500, 200]);
        assert.equal(proof.getTime(), 200);
        proof.recordPeerTime(300);
        assert.equal(proof.getTime(), 300);
        proof.recordPeerTime(250);
        assert.equal(proof.getTime(), 300);
    });

    it("takes no copy for current before the first proof, nor one whose proof is old", async () => {
        const { clock, proof } = createFixture([-Infinity]);
        assert.equal(proof.isCurrent(), false);
        proof.recordPeerTime(0);
        await clock.advance(3_000);
        assert.equal(proof.isCurrent(), true);
        await clock.advance(1);
        assert.equal(proof.isCurrent(), false);
    });

    // A node refused to say that a route does not exist because it had not read the endpoints yet.
    it("takes a section for current whatever the proof of the others", async () => {
        const { clock, followers, proof } = createFixture([0, -Infinity]);
        await clock.advance(3_000);
        assert.equal(proof.isCurrent(), false);
        assert.equal(proof.isCurrent(followers.slice(0, 1)), true);
    });

    it("asks peers for a newer proof before the copy becomes too old, the sooner if others get updates from the node", async () => {
        const { clock, proof } = createFixture([0]);
        await clock.advance(1_400);
        assert.equal(proof.isRequestDue(true), false);
        await clock.advance(600);
        assert.equal(proof.isRequestDue(true), true);
        assert.equal(proof.isRequestDue(false), false);
        await clock.advance(1);
        assert.equal(proof.isRequestDue(false), true);
    });
});
