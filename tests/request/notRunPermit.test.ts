import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { NotRunPermit } from "../../src/request/notRunPermit.ts";
import { RequestError } from "../../src/request/requestError.ts";

describe("NotRunPermit", () => {
    const fields = { status: 503, code: "queueFull", message: "Full.", retryAfterMilliseconds: 10 };

    it('allows a "not run" answer before dispatch and after the endpoint reports that it did not run the request', () => {
        const permit = NotRunPermit.create();
        assert.equal(RequestError.notRun(permit, fields).outcome, "notRun");
        permit.revoke();
        assert.throws(() => RequestError.notRun(permit, fields), { invariant: "notRunIsTrue" });
        permit.restore();
        assert.equal(RequestError.notRun(permit, fields).outcome, "notRun");
    });
});
