import { Script } from "node:vm";

/** File name of the bundle in stack traces. */
const fileName = "foxlead.cjs";

/**
 * Compiles the bundle as a CommonJS module function of `require`, `module`, `exports` and `__filename`.
 * @param bundle - Text of the bundle in Latin-1, because other characters would double its memory.
 * @param codeCache - V8 code cache of an earlier process; functions outside of it are compiled at their first call.
 */
export function compileBundle(bundle: Buffer, codeCache?: Buffer): Script {
    const source = `(function (require, module, exports, __filename) {${bundle.toString("latin1")}\n})`;
    return new Script(source, { filename: fileName, cachedData: codeCache });
}
