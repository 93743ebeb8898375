/** Error of a failed invariant check. It indicates a bug in this program, never invalid input. */
export class InvariantError extends Error {
    /** Name of the invariant, which identifies the check in logs and metrics. */
    readonly invariant: string;

    private constructor(invariant: string, message: string) {
        super(message);
        this.name = "InvariantError";
        this.invariant = invariant;
    }

    /**
     * Creates the error.
     * @param message - What the check found.
     */
    static create(invariant: string, message: string): InvariantError {
        return new InvariantError(invariant, message);
    }
}
