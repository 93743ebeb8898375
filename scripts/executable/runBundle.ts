import { createRequire } from "node:module";
import type { Script } from "node:vm";

/** The function that wraps a CommonJS module. */
type ModuleFunction = (require: NodeJS.Require, module: object, exports: object, fileName: string) => void;

/** Runs a compiled bundle; `require` and `__filename` are relative to the path of the executable. */
export function runBundle(script: Script): void {
    const module = { exports: {} };
    const run = script.runInThisContext() as ModuleFunction;
    run(createRequire(process.execPath), module, module.exports, process.execPath);
}
