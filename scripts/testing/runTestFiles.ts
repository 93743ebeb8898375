import { run } from "node:test";
import { spec } from "node:test/reporters";

/** A test file that hangs fails after this time, in milliseconds. */
const fileTimeout = 300_000;
/** Files that run at the same time; few, so that a busy machine gives the same verdict. */
const defaultConcurrency = 4;

/** How the runner marks suites that fail only because of a test in them; a suite's own hooks fail otherwise. */
const parentFailure = "subtestsFailed";

interface TestRunOptions {
    /** Runs only the tests whose full names match. */
    only?: RegExp[];
    /** Leaves out the tests whose full names match. */
    except?: RegExp[];
    /** Files that run at the same time. */
    concurrency?: number;
}

interface TestRunSummary {
    /** Full names are not known to the runner's events; these are the tests' own names. */
    passed: string[];
    failed: string[];
    /** Tests marked as skipped or to do. */
    skipped: string[];
}

/**
 * Runs test files, each in a process of its own, and prints their results.
 * @param files - Paths of the files.
 * @param options - Which of their tests to run; all by default.
 */
export async function runTestFiles(files: string[], options: TestRunOptions = {}): Promise<TestRunSummary> {
    const summary: TestRunSummary = { passed: [], failed: [], skipped: [] };
    const events = run({
        files,
        concurrency: options.concurrency ?? defaultConcurrency,
        timeout: fileTimeout,
        testNamePatterns: options.only,
        testSkipPatterns: options.except,
    });
    events.on("test:pass", ({ name, skip, todo, details }) => {
        if (skip !== undefined || todo !== undefined) {
            summary.skipped.push(name);
        }
        else if (details.type !== "suite") {
            summary.passed.push(name);
        }
    });
    events.on("test:fail", ({ name, todo, details }) => {
        if (todo !== undefined) {
            summary.skipped.push(name);
        }
        else if ((details.error as { failureType?: string; }).failureType !== parentFailure) {
            summary.failed.push(name);
        }
    });
    for await (const text of events.compose(spec)) {
        process.stdout.write(text);
    }
    return summary;
}
