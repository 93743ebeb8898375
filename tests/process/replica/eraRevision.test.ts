import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EraRevision } from "../../../src/process/replica/eraRevision.ts";

describe("EraRevision", () => {
    // Guards against a store whose writes under a condition are all refused, because its counter is higher than what was left for revisions.
    it("holds the revisions of decades and a thousand eras, and orders them", () => {
        const eras = [0, 1, 2, 1_023];
        const revisions = [1, 9_000_000_000, 2 ** 40, 2 ** 43 - 1];
        let last = 0;
        for (const era of eras) {
            for (const revision of revisions) {
                const eraRevision = EraRevision.create(EraRevision.toEra(era), revision);
                assert.equal(EraRevision.getEra(eraRevision), era);
                assert.equal(EraRevision.getRevision(eraRevision), revision);
                assert.ok(Number.isSafeInteger(eraRevision) && eraRevision > last);
                last = eraRevision;
            }
        }
    });
});
