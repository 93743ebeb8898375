import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { shouldFetch } from "../../../src/process/router/shouldFetch.ts";

describe("shouldFetch", () => {
    const ahead = { isFetching: false, isEmpty: false, isNear: false, isDistributor: false, behindMilliseconds: 0 };

    it("allows one fetch at a time", () => {
        assert.equal(shouldFetch({ ...ahead, isFetching: true, isNear: true, isEmpty: true }), false);
    });

    it("fetches immediately from the same data centre, as a hub, and without a copy", () => {
        assert.equal(shouldFetch({ ...ahead, isNear: true }), true);
        assert.equal(shouldFetch({ ...ahead, isDistributor: true }), true);
        assert.equal(shouldFetch({ ...ahead, isEmpty: true }), true);
    });

    it("leaves fetching from another data centre to the hubs for a limited time", () => {
        assert.equal(shouldFetch({ ...ahead, behindMilliseconds: 300 }), false);
        assert.equal(shouldFetch({ ...ahead, behindMilliseconds: 1_000 }), true);
    });
});
