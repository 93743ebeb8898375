import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { parsePlatformArguments } from "../../platform/parsePlatformArguments.ts";

describe("parsePlatformArguments", () => {
    const doTest = (commandArguments: string[], settings: string | undefined) =>
        assert.equal(parsePlatformArguments(commandArguments)?.settings, settings);

    it("accepts the arguments with which the platform starts a node", () => {
        doTest(["platform"], process.env.FOXLEAD_BOOT ?? "/etc/foxlead/node.yaml");
        doTest(["platform", "--settings", "node.yaml"], "node.yaml");
    });

    it("leaves all others to the complete command line, which reports what is wrong with them", () => {
        for (const others of [["--help"], ["--settings"], ["--settings", ""], ["--settings", "--help"], ["x"]]) {
            doTest(["platform", ...others], undefined);
        }
        doTest(["platform", "--settings", "node.yaml", "--help"], undefined);
        doTest(["node", "--settings", "node.yaml"], undefined);
        doTest([], undefined);
    });
});
