import { InvariantError } from "../process/invariantError.ts";

/**
 * The right to answer "not run". A request holds one from its arrival and gives it up at its first dispatch, so a
 * not-run answer cannot be built once a byte may have reached an endpoint. The right is restored where an endpoint
 * answers that it did not run the request, or no connection to it was made.
 */
export class NotRunPermit {
    private isHeld = true;

    private constructor() {}

    /** Creates the permit of a request that has just arrived. */
    static create(): NotRunPermit {
        return new NotRunPermit();
    }

    /** Gives the right up: from here on a byte may reach an endpoint. */
    giveUp(): void {
        this.isHeld = false;
    }

    /** Takes the right back: no endpoint has run any part of the request. */
    restore(): void {
        this.isHeld = true;
    }

    /** Tells whether "not run" would be true. */
    isAvailable(): boolean {
        return this.isHeld;
    }

    /**
     * Uses the right for an answer.
     * @throws InvariantError where the request may have run.
     */
    use(): void {
        if (!this.isHeld) {
            throw InvariantError.create("notRunIsTrue", "A not-run answer was built for a request that may have run.");
        }
    }
}
