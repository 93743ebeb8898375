import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ConfigurationFollower } from "../../src/version/configurationFollower.ts";
import { OfferOutcomeKind } from "../../src/version/offerOutcomeKind.ts";

describe("ConfigurationFollower", () => {
    it("never accepts a lower version and keeps the first edit of each, in any order of the offers", () => {
        const offer = fc.record({
            version: fc.integer({ min: -1, max: 8 }),
            editId: fc.constantFrom("x", "y"),
            text: fc.constantFrom("{}", "{", `{ "models": 1 }`),
        });
        fc.assert(
            fc.property(fc.array(offer, { maxLength: 40 }), offers => {
                const accepted: number[] = [];
                const follower = ConfigurationFollower.create({ onAccepted: value => accepted.push(value.version) });
                for (const next of offers) {
                    const before = follower.getCurrent();
                    const { kind } = follower.offer(next);
                    const isSound = next.text === "{}" && next.version >= 1;
                    const isNewer = next.version > (before?.version ?? 0);
                    assert.equal(kind === OfferOutcomeKind.Accepted, isSound && isNewer);
                    assert.equal(
                        kind === OfferOutcomeKind.Conflict,
                        next.version === before?.version && next.editId !== before.editId,
                    );
                    if (kind !== OfferOutcomeKind.Accepted) {
                        assert.equal(follower.getCurrent(), before);
                    }
                }
                assert.deepEqual(accepted, [...new Set(accepted)].sort((left, right) => left - right));
            }),
            { seed: 20_261, numRuns: 500 },
        );
    });

    it("rejects versions that are not positive integers", () => {
        const follower = ConfigurationFollower.create();
        for (const version of [0, 1.5, Number.NaN, Number.POSITIVE_INFINITY, 2 ** 53]) {
            const outcome = follower.offer({ version, editId: "x", text: "{}" });
            assert.equal(outcome.kind, OfferOutcomeKind.InvalidVersion);
        }
    });

    it("accepts a valid text after an invalid one of the same version", () => {
        const follower = ConfigurationFollower.create();
        assert.equal(follower.offer({ version: 1, editId: "x", text: "{" }).kind, OfferOutcomeKind.Broken);
        assert.equal(follower.offer({ version: 1, editId: "x", text: "{" }).kind, OfferOutcomeKind.Broken);
        assert.equal(follower.offer({ version: 1, editId: "x", text: "{}" }).kind, OfferOutcomeKind.Accepted);
    });
});
