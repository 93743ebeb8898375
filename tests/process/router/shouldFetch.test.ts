import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { shouldFetch } from "../../../src/process/router/shouldFetch.ts";

describe("shouldFetch", () => {
    const ahead = { isFetching: false, isEmpty: false, isNear: false, isHub: false, behindMilliseconds: 0 };

    it("fetches once at a time", () => {
        assert.equal(shouldFetch({ ...ahead, isFetching: true, isNear: true, isEmpty: true }), false);
    });

    it("fetches at once from the same data centre, as a hub, and where nothing is known", () => {
        assert.equal(shouldFetch({ ...ahead, isNear: true }), true);
        assert.equal(shouldFetch({ ...ahead, isHub: true }), true);
        assert.equal(shouldFetch({ ...ahead, isEmpty: true }), true);
    });

    it("leaves it to the hubs to bring changes from another data centre, but not for long", () => {
        assert.equal(shouldFetch({ ...ahead, behindMilliseconds: 300 }), false);
        assert.equal(shouldFetch({ ...ahead, behindMilliseconds: 1_000 }), true);
    });
});
