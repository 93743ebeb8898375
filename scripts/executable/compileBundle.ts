import { Script } from "node:vm";

/** Name of the bundle in stack traces. */
const fileName = "foxlead.cjs";

/**
 * Compiles the bundle as the body of a function of `require`, `module`, `exports` and `__filename`, as CommonJS has it.
 * @param bundle - Its text; Latin-1, since a text with other characters takes twice the memory.
 * @param codeCache - Functions that an earlier process had compiled; others are compiled when they are first called.
 */
export function compileBundle(bundle: Buffer, codeCache?: Buffer): Script {
    const source = `(function (require, module, exports, __filename) {${bundle.toString("latin1")}\n})`;
    return new Script(source, { filename: fileName, cachedData: codeCache });
}
