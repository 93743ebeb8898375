import { run } from "node:test";
import { spec } from "node:test/reporters";

/** Time after which a hanging test file fails. */
const fileTimeoutMilliseconds = 300_000;
/** Test files that run concurrently; few, so that the tests pass on a busy machine as well. */
const defaultConcurrency = 4;

/** Failure type of a suite that fails only because of its tests; failures of its hooks have other types. */
const subtestFailureType = "subtestsFailed";

/** Options of {@link runTestFiles}. */
interface TestRunOptions {
    /** Runs only the tests whose full names match. */
    only?: RegExp[];
    /** Skips the tests whose full names match. */
    except?: RegExp[];
    /** Test files that run concurrently. */
    concurrency?: number;
}

/** Names of the tests by result. */
interface TestRunSummary {
    /** Names without those of the suites, because the events of the runner don't contain full names. */
    passed: string[];
    failed: string[];
    /** Tests marked as skipped or to do. */
    skipped: string[];
}

/**
 * Runs test files, each in a separate process, and prints the results.
 * @param files - Paths of the files.
 * @param options - Selects the tests to run; all by default.
 */
export async function runTestFiles(files: string[], options: TestRunOptions = {}): Promise<TestRunSummary> {
    const summary: TestRunSummary = { passed: [], failed: [], skipped: [] };
    const events = run({
        files,
        concurrency: options.concurrency ?? defaultConcurrency,
        timeout: fileTimeoutMilliseconds,
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
        else if ((details.error as { failureType?: string; }).failureType !== subtestFailureType) {
            summary.failed.push(name);
        }
    });
    for await (const text of events.compose(spec)) {
        process.stdout.write(text);
    }
    return summary;
}
