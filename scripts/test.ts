/** Runs all checks of the project, prints the result of each, and fails if any check fails. */
import { spawnSync } from "node:child_process";

const steps = ["format:check", "lint", "typecheck", "knip", "generate:check", "test:run"];

process.chdir(new URL("..", import.meta.url).pathname);

const results: string[] = [];
for (const step of steps) {
    console.log(`== ${step}`);
    const { status } = spawnSync("npm", ["run", "--silent", step], { stdio: "inherit" });
    results.push(`${status === 0 ? "passed" : "FAILED"}  ${step}`);
    if (status !== 0) {
        process.exitCode = 1;
    }
}
console.log(`== verdict\n${results.join("\n")}`);
