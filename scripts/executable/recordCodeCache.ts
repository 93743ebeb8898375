/**
 * Runs foxlead from its bundle and writes the V8 code cache to a file when the process exits.
 *
 * Usage: recordCodeCache.ts BUNDLE FILE [ARGUMENT...], where the ARGUMENTs are passed to foxlead.
 */
import { readFileSync, writeFileSync } from "node:fs";
import { compileBundle } from "./compileBundle.ts";
import { runBundle } from "./runBundle.ts";

const [bundle, file, ...options] = process.argv.slice(2);
const script = compileBundle(readFileSync(bundle!));
process.argv = [process.execPath, process.execPath, ...options];
process.once("exit", () => writeFileSync(file!, script.createCachedData()));
runBundle(script);
