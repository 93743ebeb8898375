/**
 * Runs the tests. The tests that KNOWN-RED.txt lists run separately, and their failure doesn't fail the run. Skipped tests do.
 */
import { existsSync, globSync, readFileSync } from "node:fs";
import { isCrowdTest } from "./testing/isCrowdTest.ts";
import type { KnownRedTest } from "./testing/knownRedTest.ts";
import { parseKnownRed } from "./testing/parseKnownRed.ts";
import { runTestFiles } from "./testing/runTestFiles.ts";

const knownRedFile = "KNOWN-RED.txt";

process.chdir(new URL("..", import.meta.url).pathname);

const knownRed = existsSync(knownRedFile) ? parseKnownRed(readFileSync(knownRedFile, "utf8")) : [];
const errors: string[] = [];

const filesWithKnownRed = new Set(knownRed.map(test => test.file));
const files = globSync("tests/**/*.test.ts").sort();
if (files.length === 0) {
    throw new Error("There are no test files in tests/; restore them.");
}
const filesWithoutKnownRed = files.filter(file => !filesWithKnownRed.has(file));
await runAndCheck(filesWithoutKnownRed.filter(file => !startsProcesses(file) && !isCrowdTest(file)), []);
await runAndCheck(filesWithoutKnownRed.filter(startsProcesses), []);
await runAndCheck(filesWithoutKnownRed.filter(isCrowdTest), []);
for (const file of filesWithKnownRed) {
    await runAndCheck([file], knownRed.filter(test => test.file === file).map(createPattern));
}
for (const test of knownRed) {
    await runKnownRed(test);
}
for (const fault of errors) {
    console.error(fault);
}
process.exitCode = errors.length === 0 ? 0 : 1;

async function runAndCheck(paths: string[], except: RegExp[]): Promise<void> {
    // Without paths, the test runner would search for test files itself.
    if (paths.length === 0) {
        return;
    }
    const concurrency = paths.some(file => startsProcesses(file) || isCrowdTest(file)) ? 1 : undefined;
    const { failed, skipped } = await runTestFiles(paths, { except, concurrency });
    if (failed.length > 0) {
        errors.push(`Failed: ${failed.join("; ")}.`);
    }
    if (skipped.length > 0) {
        errors.push(`Marked as skipped or to do, which counts as failed: ${skipped.join("; ")}.`);
    }
}

async function runKnownRed(test: KnownRedTest): Promise<void> {
    console.log(`Known red: ${test.file}: ${test.fullName} (${test.seen}; ${test.command}; ${test.issue})`);
    const { failed, passed, skipped } = await runTestFiles([test.file], { only: [createPattern(test)] });
    const isSingleTest = failed.length + passed.length === 1 && skipped.length === 0;
    const testName = [...failed, ...passed][0];
    if (isSingleTest && passed.length > 0) {
        console.log(`It passed in this run. Remove its line from ${knownRedFile} once it passes reliably.`);
    }
    if (!isSingleTest || testName === undefined || !test.fullName.endsWith(testName)) {
        errors.push(
            `${knownRedFile} must list one existing test per line; this line doesn't match exactly one test: ${test.file}: ${test.fullName}.`,
        );
    }
}

/** Gets if a test file starts many processes. These files, and after them those of crowds, run one at a time. */
function startsProcesses(file: string): boolean {
    return file.startsWith("tests/system/");
}

function createPattern(test: KnownRedTest): RegExp {
    return new RegExp(`^${test.fullName.replaceAll(/[$()*+.?[\\\]^{|}]/g, "\\$&")}$`);
}
