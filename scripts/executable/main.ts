/**
 * Entry of the single executable: runs the bundle that lies beside it in the file, with the functions that a node had compiled
 * when the executable was built. Without them each start compiles these anew, which a herd of starts pays for at its worst moment.
 */
import { getRawAsset } from "node:sea";
import { assetNames } from "./assetNames.ts";
import { compileBundle } from "./compileBundle.ts";
import { runBundle } from "./runBundle.ts";

const bundle = Buffer.from(getRawAsset(assetNames.bundle));
const codeCache = Buffer.from(getRawAsset(assetNames.codeCache));
runBundle(compileBundle(bundle, codeCache));
