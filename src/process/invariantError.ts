/** A check of an invariant failed: a fault of this program, never of its input. */
export class InvariantError extends Error {
    /** Name of the invariant, as in the proof table. */
    readonly invariant: string;

    private constructor(invariant: string, message: string) {
        super(message);
        this.name = "InvariantError";
        this.invariant = invariant;
    }

    /**
     * Creates the error.
     * @param invariant - Name of the invariant.
     * @param message - What was found.
     */
    static create(invariant: string, message: string): InvariantError {
        return new InvariantError(invariant, message);
    }
}
