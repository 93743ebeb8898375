/**
 * Entry point of the single executable: runs an embedded bundle with the V8 code cache that was recorded at build time.
 * Without the code cache, each start would compile these functions again, which is most costly when many nodes start at once.
 */
import { getRawAsset } from "node:sea";
import { parsePlatformArguments } from "../../platform/parsePlatformArguments.ts";
import { assetNames } from "./assetNames.ts";
import { compileBundle } from "./compileBundle.ts";
import { runBundle } from "./runBundle.ts";

const isPlatform = parsePlatformArguments(process.argv.slice(2)) !== undefined;
const bundle = Buffer.from(getRawAsset(isPlatform ? assetNames.platformBundle : assetNames.bundle));
const codeCache = Buffer.from(getRawAsset(isPlatform ? assetNames.platformCodeCache : assetNames.codeCache));
runBundle(compileBundle(bundle, codeCache));
