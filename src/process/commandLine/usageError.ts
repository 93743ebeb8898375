/** Error of an invalid command line. */
export class UsageError extends Error {
    override readonly name = "UsageError";
}
