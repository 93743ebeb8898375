/** Checks that the committed code generated from the protobuf definitions is up to date. */
import { spawnSync } from "node:child_process";
import { globSync, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const folder = "src/wire/generated";

process.chdir(new URL("..", import.meta.url).pathname);

const output = mkdtempSync(join(tmpdir(), "foxlead-generated-"));
try {
    runBuf("lint");
    runBuf("generate", "--output", output);
    const expected = readTree(join(output, folder));
    const committed = readTree(folder);
    if (JSON.stringify(expected) !== JSON.stringify(committed)) {
        throw new Error(
            `${folder} differs from the output of the generator. Run npm run generate and commit the result.`,
        );
    }
}
finally {
    rmSync(output, { recursive: true });
}

function runBuf(...options: string[]): void {
    const { status } = spawnSync("node_modules/.bin/buf", options, { stdio: "inherit" });
    if (status !== 0) {
        throw new Error(`buf ${options[0]} failed; see its output above.`);
    }
}

function readTree(path: string): string[][] {
    return globSync("**/*.ts", { cwd: path }).sort().map(file => [file, readFileSync(join(path, file), "utf8")]);
}
