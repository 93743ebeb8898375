import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { RequestEnvironment } from "../../src/request/requestEnvironment.ts";
import { settleOnThrow } from "../../src/request/settleOnThrow.ts";

describe("settleOnThrow", () => {
    it("settles a granted claim as unknown if the run throws, and rethrows the error", async () => {
        const settled: string[] = [];
        const claims = { settle: (key: string, end: { kind: string; }) => settled.push(`${key} ${end.kind}`) };
        const environment = { claims } as unknown as RequestEnvironment;
        const run = () => Promise.reject(new Error("Broken."));
        await assert.rejects(settleOnThrow(environment, { kind: "granted", key: "k" }, run), /Broken/);
        await assert.rejects(settleOnThrow(environment, { kind: "unclaimed" }, run), /Broken/);
        assert.deepEqual(settled, ["k unknown"]);
    });
});
