/**
 * Builds foxlead.cjs, a CommonJS bundle, and foxlead, a single executable. The executable contains this bundle and one of the
 * command `platform` alone in a copy of the Node.js binary from the lock file.
 *
 * Usage: build.ts [FOLDER]. Default: dist.
 */
import { build } from "esbuild";
import { spawnSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, rmSync, writeFileSync } from "node:fs";
import { assetNames } from "./executable/assetNames.ts";
import { createBundle } from "./executable/createBundle.ts";
import { createCodeCache } from "./executable/createCodeCache.ts";
import { executableFlags as flags } from "./executable/executableFlags.ts";
import { getLibraryBytes } from "./executable/getLibraryBytes.ts";
import { getNodePackage } from "./installation/getNodePackage.mjs";

process.chdir(new URL("..", import.meta.url).pathname);

const [folder = "dist"] = process.argv.slice(2);
const bundle = `${folder}/foxlead.cjs`;
const executable = `${folder}/foxlead`;
const entry = `${folder}/main.cjs`;
const codeCache = `${folder}/foxlead.cache`;
const platformBundle = `${folder}/platform.cjs`;
const platformCodeCache = `${folder}/platform.cache`;
const seaConfiguration = `${folder}/sea.json`;
const seaBlob = `${folder}/sea.blob`;
/**
 * Marker in the Node.js binary, whose last digit the injection of the blob changes. See "Single executable applications" in
 * the Node.js documentation.
 */
const sentinelFuse = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";
const executableMode = 0o755;
/** Width of the column of bytes in the output. */
const byteDigits = 8;

mkdirSync(folder, { recursive: true });
await createBundle({ entry: "src/main.ts", file: bundle, hasRequest: true });
const platformContent = await createBundle({ entry: "platform/main.ts", file: platformBundle, hasRequest: false });
await build({
    entryPoints: ["scripts/executable/main.ts"],
    outfile: entry,
    bundle: true,
    platform: "node",
    format: "cjs",
    target: "node24",
    minifyWhitespace: true,
    logLevel: "warning",
});
await createCodeCache(platformBundle, platformCodeCache, flags);
await createCodeCache(bundle, codeCache, flags);

writeFileSync(
    seaConfiguration,
    JSON.stringify({
        main: entry,
        output: seaBlob,
        disableExperimentalSEAWarning: true,
        assets: {
            [assetNames.bundle]: bundle,
            [assetNames.codeCache]: codeCache,
            [assetNames.platformBundle]: platformBundle,
            [assetNames.platformCodeCache]: platformCodeCache,
        },
        execArgv: flags,
        execArgvExtension: "none",
    }),
);
run(process.execPath, "--experimental-sea-config", seaConfiguration);
rmSync(executable, { force: true });
copyFileSync(`${getNodePackage(process.platform, process.arch)}/bin/node`, executable);
chmodSync(executable, executableMode);
run("node_modules/.bin/postject", executable, "NODE_SEA_BLOB", seaBlob, "--sentinel-fuse", sentinelFuse);
rmSync(seaConfiguration);
rmSync(seaBlob);
rmSync(entry);
rmSync(codeCache);
rmSync(platformBundle);
rmSync(platformCodeCache);
run(executable, "version");
console.log("Bytes by library in the bundle of the command platform:");
for (const [library, bytes] of getLibraryBytes(platformContent)) {
    console.log(`${String(bytes).padStart(byteDigits)} ${library}`);
}
console.log(`Built ${bundle} and ${executable}.`);

function run(command: string, ...options: string[]): void {
    const { status } = spawnSync(command, options, { stdio: "inherit" });
    if (status !== 0) {
        throw new Error(`${command} failed; see its output above.`);
    }
}
