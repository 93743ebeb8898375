import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { z } from "zod";
import { parseJsonc } from "../../../src/process/jsonc/parseJsonc.ts";

describe("parseJsonc", () => {
    const schema = z.strictObject({
        port: z.int().min(1).default(80),
        names: z.record(z.string(), z.number()).default({}),
    });

    function doTest(text: string, expected: string[]): void {
        const parsed = parseJsonc(text, schema);
        const faults = parsed.err ? parsed.val : [];
        assert.deepEqual(faults.map(fault => `${fault.line}:${fault.column} ${fault.path}`), expected);
    }

    it("accepts comments and trailing commas and fills in defaults", () => {
        assert.deepEqual(parseJsonc("{ // a comment\n /* more */ }", schema).val, { port: 80, names: {} });
        assert.deepEqual(parseJsonc(`{ "names": { "a": 1, }, }`, schema).val, { port: 80, names: { a: 1 } });
    });

    it("locates all schema faults at once", () => {
        doTest(`{\r\n  "port": 0,\n  "names": { "a": "x" },\r  "nams": {}\n}`, [
            "2:11 port",
            "3:19 names.a",
            "4:3 nams",
        ]);
    });

    it("rejects duplicate and reserved keys", () => {
        doTest(`{ "names": { "a": 1,\n "a": 2 } }`, ["2:2 names.a"]);
        doTest(`{ "names": { "__proto__": 1 } }`, ["1:14 names.__proto__"]);
    });

    it("rejects invalid JSON", () => {
        doTest("", ["1:1 "]);
        doTest(`{ "port" 1 }`, ["1:10 "]);
        doTest("[".repeat(100_000), ["1:51 "]);
        doTest("3", ["1:1 "]);
    });

    it("rejects a text over the size limit", () => {
        doTest(`{}${" ".repeat(999_998)}`, []);
        doTest(`{}${" ".repeat(999_999)}`, ["1:1 "]);
    });

    it("says how to fix a fault", () => {
        const parsed = parseJsonc(`{ "port": 0 }`, schema);
        assert.equal(parsed.err && parsed.val[0]?.message, "Write a number of at least 1.");
    });
});
