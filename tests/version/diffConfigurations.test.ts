import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { diffConfigurations } from "../../src/version/diffConfigurations.ts";
import { parseConfiguration } from "../../src/version/parseConfiguration.ts";

describe("diffConfigurations", () => {
    function parse(value: object) {
        return parseConfiguration(JSON.stringify(value)).unwrap();
    }

    it("lists what was added, removed and changed, with short key hashes", () => {
        const first = `sha256:${"1".repeat(64)}`;
        const second = `sha256:${"2".repeat(64)}`;
        const before = parse({ customers: { a: { keyHashes: [first], weight: 1 }, b: { keyHashes: [second] } } });
        const after = parse({
            customers: { a: { keyHashes: [second, first], weight: 2 } },
            limits: { maximumTokens: 9 },
        });
        assert.deepEqual(diffConfigurations(before, after), [
            `+ customers.a.keyHashes: "sha256:22222222..."`,
            "~ customers.a.weight: 1 -> 2",
            `- customers.b: {"keyHashes":["sha256:22222222..."],"weight":1,"requestsPerSecond":100,"priority":0}`,
            "~ limits.maximumTokens: 4096 -> 9",
        ]);
        assert.deepEqual(diffConfigurations(after, after), []);
    });

    it("lists all entries if there was no configuration before", () => {
        const lines = diffConfigurations(undefined, parse({ models: { m: { layers: 1, hiddenBytes: 2 } } }));
        assert.equal(lines[0], `+ models.m: {"layers":1,"hiddenBytes":2}`);
    });
});
