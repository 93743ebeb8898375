/**
 * Formats the files that dprint.json includes. The formatter runs as WebAssembly in Node.js, because its executables need a newer C
 * library than some machines have.
 *
 * Usage: format.ts [--check]. With --check, prints the files that are not formatted and fails if there are any.
 */
import { createContext, type GlobalConfiguration } from "@dprint/formatter";
import { getPath } from "@dprint/typescript";
import { globSync, readFileSync, writeFileSync } from "node:fs";

interface FormatterConfiguration extends GlobalConfiguration {
    typescript: Record<string, unknown>;
    includes: string[];
    excludes: string[];
}

process.chdir(new URL("..", import.meta.url).pathname);

const isCheck = process.argv.includes("--check");
const { typescript, includes, excludes, ...global }: FormatterConfiguration = JSON.parse(
    readFileSync("dprint.json", "utf8"),
);
const formatter = createContext(global).addPlugin(readFileSync(getPath()), typescript);
const diagnostics = formatter.getConfigDiagnostics();
if (diagnostics.length > 0) {
    throw new Error(`Correct dprint.json: ${diagnostics.map(({ message }) => message).join("; ")}.`);
}

const files = globSync(includes, { exclude: excludes });
const changed: string[] = [];
for (const filePath of files) {
    const fileText = readFileSync(filePath, "utf8");
    const formatted = formatter.formatText({ filePath, fileText });
    if (formatted === fileText) {
        continue;
    }
    changed.push(filePath);
    if (!isCheck) {
        writeFileSync(filePath, formatted);
    }
}
if (files.length === 0) {
    throw new Error("dprint.json includes no file; correct its `includes`.");
}
for (const file of changed) {
    console.log(isCheck ? `Not formatted: ${file}` : `Formatted ${file}`);
}
if (isCheck && changed.length > 0) {
    console.error("Run `npm run format`.");
    process.exitCode = 1;
}
console.log(`${files.length} files, ${changed.length} ${isCheck ? "to format" : "formatted"}.`);
