/**
 * Runs a script of this repository with the Node.js binary from the lock file, and first installs the dependencies if they
 * are missing, differ from the lock file or are for another kind of machine. Plain JavaScript without dependencies, because it runs on a fresh clone with any
 * version of Node.js.
 *
 * Usage: node scripts/runInstalled.mjs SCRIPT [ARGUMENT...]
 */
import { spawn, spawnSync } from "node:child_process";
import { readFileSync } from "node:fs";
import process from "node:process";
import { fileURLToPath, URL } from "node:url";
import { getNodePackage } from "./installation/getNodePackage.mjs";
import { isInstalled } from "./installation/isInstalled.mjs";

const root = fileURLToPath(new URL("..", import.meta.url));
const nodePackage = getNodePackage(process.platform, process.arch);

function readPackages(path) {
    try {
        return JSON.parse(readFileSync(`${root}/${path}`, "utf8")).packages;
    }
    catch {
        return {};
    }
}

if (!isInstalled(readPackages("package-lock.json"), readPackages("node_modules/.package-lock.json"), nodePackage)) {
    const options = ["ci", "--include=dev", "--include=optional", "--no-audit", "--no-fund", "--loglevel=error"];
    const { status } = spawnSync("npm", options, { cwd: root, stdio: "inherit" });
    if (status !== 0) {
        process.exit(status ?? 1);
    }
}

const child = spawn(`${root}/${nodePackage}/bin/node`, process.argv.slice(2), { cwd: root, stdio: "inherit" });
for (const signal of ["SIGINT", "SIGTERM"]) {
    process.on(signal, () => child.kill(signal));
}
child.on("exit", (code, signal) => {
    process.exitCode = code ?? 1;
    if (signal !== null) {
        process.stderr.write(`${process.argv[2]} was terminated by ${signal}.\n`);
    }
});
