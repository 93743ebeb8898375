/**
 * Entry point of the single executable: runs the embedded bundle with the V8 code cache that was recorded at build time.
 * Without the code cache, each start would compile these functions again, which is most costly when many nodes start at once.
 */
import { getRawAsset } from "node:sea";
import { assetNames } from "./assetNames.ts";
import { compileBundle } from "./compileBundle.ts";
import { runBundle } from "./runBundle.ts";

const bundle = Buffer.from(getRawAsset(assetNames.bundle));
const codeCache = Buffer.from(getRawAsset(assetNames.codeCache));
runBundle(compileBundle(bundle, codeCache));
