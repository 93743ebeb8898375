import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { CustomerIndex } from "../../src/version/customerIndex.ts";
import { parseConfiguration } from "../../src/version/parseConfiguration.ts";

describe("docs/examples/services.jsonc", () => {
    const example = readFileSync(new URL("../../docs/examples/services.jsonc", import.meta.url), "utf8");

    it("is a valid configuration whose comments state the defaults", () => {
        const configuration = parseConfiguration(example).unwrap();
        const defaults = parseConfiguration("{}").unwrap();
        assert.deepEqual(configuration.limits, defaults.limits);
        assert.deepEqual(configuration.claims, defaults.claims);
        assert.equal(CustomerIndex.create(configuration).getCustomer("example-key"), "municipality");
    });
});
