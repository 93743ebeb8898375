/** A command line that can't be run as written. */
export class UsageError extends Error {
    override readonly name = "UsageError";
}
