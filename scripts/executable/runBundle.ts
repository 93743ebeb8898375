import { createRequire } from "node:module";
import type { Script } from "node:vm";

/** A module's function, as CommonJS has it. */
type ModuleFunction = (require: NodeJS.Require, module: object, exports: object, fileName: string) => void;

/** Runs a compiled bundle, which finds the modules of Node.js and itself under the executable's path. */
export function runBundle(script: Script): void {
    const module = { exports: {} };
    const run = script.runInThisContext() as ModuleFunction;
    run(createRequire(process.execPath), module, module.exports, process.execPath);
}
