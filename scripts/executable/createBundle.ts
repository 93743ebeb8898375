import { build, type BuildOptions, type Metafile, type Plugin } from "esbuild";

const options = {
    bundle: true,
    platform: "node",
    format: "cjs",
    target: "node24",
    charset: "ascii",
    legalComments: "none",
    // Characters outside Latin-1, which comments may contain, would double the memory of the whole text.
    minifyWhitespace: true,
    minifySyntax: true,
    // Stack traces keep the names of methods. The source map, which is not loaded, has the others.
    minifyIdentifiers: true,
    sourcemap: "external",
    logLevel: "warning",
    metafile: true,
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
 * Bundles the parts of undici that a node uses. The index of undici loads fetch, WebSocket, caches and a database, which would
 * slow down the start of a node.
 * @param hasRequest - Whether to load the index at the first access to `request`, which only the command line needs.
 */
function createPartsOfUndici(hasRequest: boolean): Plugin {
    const request = 'Object.defineProperty(exports, "request", { get: () => require("undici/index.js").request });';
    return {
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
                    Dispatcher.prototype.request = require("undici/lib/api/api-request.js");
                    exports.Agent = require("undici/lib/dispatcher/agent.js");
                    exports.Client = require("undici/lib/dispatcher/client.js");
                    exports.Pool = require("undici/lib/dispatcher/pool.js");
                    exports.buildConnector = require("undici/lib/core/connect.js");
                    exports.Headers = require("undici/lib/web/fetch/headers.js").Headers;
                    ${hasRequest ? request : ""}
                `,
                resolveDir: pluginData,
            }));
        },
    };
}

/** Omits the push gateway and cluster support of the metrics library, which load HTTP clients and the cluster module. */
const metricsWithoutSending: Plugin = {
    name: "metrics-without-sending",
    setup: ({ onResolve, onLoad }) => {
        onResolve({ filter: /^\.\/lib\/(pushgateway|cluster)$/ }, ({ path }) => ({ path, namespace: "empty" }));
        onLoad({ filter: /.*/, namespace: "empty" }, () => ({ contents: "" }));
    },
};

/** Options of {@link createBundle}. */
interface BundleOptions {
    /** Source file at which the program starts. */
    entry: string;
    /** File to write. */
    file: string;
    /** Whether the program sends requests with `request` of undici. */
    hasRequest: boolean;
}

/** Bundles a program and its libraries into one CommonJS file, and returns what the bundle contains. */
export async function createBundle({ entry, file, hasRequest }: BundleOptions): Promise<Metafile> {
    const { metafile } = await build({
        ...options,
        entryPoints: [entry],
        outfile: file,
        plugins: [esModulesOfUmdLibraries, createPartsOfUndici(hasRequest), metricsWithoutSending],
        // Replaces the global `Headers`, which loads all of fetch at its first use.
        inject: ["scripts/executable/headers.ts"],
        // ts-results and jsonc-parser can't be bundled from their CommonJS form.
        mainFields: ["module", "main"],
        // CommonJS has no import.meta, which yargs uses to find its own location.
        // undici leaves out its second, experimental HTTP parser where `esbuildDetection` is defined.
        define: { "import.meta.url": "bundleUrl", esbuildDetection: "true" },
        banner: { js: 'const bundleUrl = require("node:url").pathToFileURL(__filename).href;' },
    });
    return metafile;
}
