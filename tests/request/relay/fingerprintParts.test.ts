import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { fingerprintParts } from "../../../src/request/relay/fingerprintParts.ts";

describe("fingerprintParts", () => {
    it("gives the same part the same key in other requests of a service, at any place", () => {
        const [first] = fingerprintParts({ promptParts: ["a", "b"] }, "model");
        assert.equal(fingerprintParts({ promptParts: ["c", "a"] }, "model")[1], first);
    });

    it("tells parts and services apart, and parts from whole requests", () => {
        const keys = [
            ...fingerprintParts({ promptParts: ["a", "b", "a"] }, "model"),
            ...fingerprintParts({ promptParts: ["a"] }, "other"),
        ];
        assert.equal(new Set(keys).size, 3);
        assert.ok(keys.every(key => /^p[0-9a-f]{15}$/.test(key)));
    });

    // Guards against a harmful part that crashes one endpoint after the other, because sixteen harmless ones come before it.
    it("gives a part its key behind many others", () => {
        const promptParts = Array.from({ length: 63 }, (_, index) => String(index));
        const [harmful] = fingerprintParts({ promptParts: ["harmful"] }, "model");
        assert.equal(fingerprintParts({ promptParts: [...promptParts, "harmful"] }, "model").at(-1), harmful);
    });

    it("takes a bounded number of parts into account", () => {
        const promptParts = Array.from({ length: 100 }, (_, index) => String(index));
        assert.equal(fingerprintParts({ promptParts }, "model").length, 64);
    });
});
