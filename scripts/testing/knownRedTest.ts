/** A test that is known to fail because of an open bug, as listed in KNOWN-RED.txt. */
export interface KnownRedTest {
    /** Path of the test file, relative to the root of the repository. */
    file: string;
    /** Names of the suites and of the test, joined by spaces as the test runner matches them. */
    fullName: string;
    /** Command that runs the test, including the seed, if any. */
    command: string;
    /** The observed failure. */
    seen: string;
    issue: string;
}
