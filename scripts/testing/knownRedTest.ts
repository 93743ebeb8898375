/** A test that fails for a real fault which is not mended yet, as KNOWN-RED.txt lists it. */
export interface KnownRedTest {
    /** File of the test, from the root of the repository. */
    file: string;
    /** Names of its suites and of the test itself, joined by spaces as the test runner matches them. */
    fullName: string;
    /** Command that runs it, with its seed where it has one. */
    command: string;
    /** What was seen when it failed. */
    seen: string;
    issue: string;
}
