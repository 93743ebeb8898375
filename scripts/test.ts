/** Runs every check of the project, prints a verdict for each, and fails where one has failed. */
import { spawnSync } from "node:child_process";

const steps = ["format:check", "lint", "typecheck", "knip", "generate:check", "test:run"];

process.chdir(new URL("..", import.meta.url).pathname);

const verdicts: string[] = [];
for (const step of steps) {
    console.log(`== ${step}`);
    const { status } = spawnSync("npm", ["run", "--silent", step], { stdio: "inherit" });
    verdicts.push(`${status === 0 ? "passed" : "FAILED"}  ${step}`);
    if (status !== 0) {
        process.exitCode = 1;
    }
}
console.log(`== verdict\n${verdicts.join("\n")}`);
