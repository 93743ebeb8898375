import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { v4 as createRandomUuid, v7 as createUuid } from "uuid";
import { claimRequest } from "../../src/request/claimRequest.ts";
import type { RequestContext } from "../../src/request/requestContext.ts";
import type { RequestEnvironment } from "../../src/request/requestEnvironment.ts";

describe("claimRequest", () => {
    /** Claims a key and compares the kind of the claim, or the code of the error. */
    async function doTest(
        key: string | undefined,
        isIdempotentService: boolean,
        isMarkedNonIdempotent: boolean,
        expected: string,
    ): Promise<void> {
        const span = { context: {}, setAttributes: () => undefined, end: () => undefined };
        const environment = {
            clock: { getMonotonicTime: () => 0 },
            tracing: { startSpan: () => span },
            metrics: { claimSeconds: { observe: () => undefined }, claimsTotal: { inc: () => undefined } },
            claims: { claim: async () => ({ kind: "granted" }) },
        } as unknown as RequestEnvironment;
        const context = { customer: "c", id: "r", idempotencyKey: key, isMarkedNonIdempotent, span };
        const claim = await claimRequest(environment, context as unknown as RequestContext, isIdempotentService, ["x"]);
        assert.equal(claim.ok ? claim.val.kind : claim.val.code, expected);
    }

    it("requires a key if the request may run only once", async () => {
        await doTest(undefined, true, false, "unclaimed");
        await doTest(undefined, false, false, "idempotency_key_missing");
        await doTest(undefined, true, true, "idempotency_key_missing");
    });

    it("claims a key that is a UUID version 7", async () => {
        await doTest(createUuid(), true, false, "granted");
        await doTest(createUuid(), false, false, "granted");
    });

    it("ignores other keys if the request is idempotent, since chat clients send them by default", async () => {
        await doTest(`client-retry-${createRandomUuid()}`, true, false, "unclaimed");
    });

    it("refuses other keys if the request may run only once", async () => {
        await doTest(createRandomUuid(), false, false, "bad_idempotency_key");
        await doTest(createRandomUuid(), true, true, "bad_idempotency_key");
    });
});
