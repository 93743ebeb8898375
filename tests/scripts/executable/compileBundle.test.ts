import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { compileBundle } from "../../../scripts/executable/compileBundle.ts";

const bundle = Buffer.from("const triple = number => 3 * number; module.exports.six = triple(2);");

/** Runs a compiled bundle and returns its exports. */
function run(script: ReturnType<typeof compileBundle>): object {
    const module = { exports: {} };
    script.runInThisContext()(undefined, module, module.exports, "bundle");
    return module.exports;
}

describe("compileBundle", () => {
    it("runs the bundle as a module", () => {
        assert.deepEqual(run(compileBundle(bundle)), { six: 6 });
    });

    it("uses the code cache of an earlier compilation", () => {
        const first = compileBundle(bundle);
        run(first);
        const second = compileBundle(bundle, first.createCachedData());
        assert.equal(second.cachedDataRejected, false);
        assert.deepEqual(run(second), { six: 6 });
    });

    it("runs the bundle if the code cache is that of another bundle", () => {
        const other = compileBundle(Buffer.from("module.exports.other = true;"));
        const later = Buffer.from("module.exports.seven = 7; // Not compiled in this process before.");
        const script = compileBundle(later, other.createCachedData());
        assert.equal(script.cachedDataRejected, true);
        assert.deepEqual(run(script), { seven: 7 });
    });
});
