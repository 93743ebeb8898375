import { InvariantError } from "../process/invariantError.ts";

/**
 * Guards "not run" answers. A request holds the permit from its arrival until its first dispatch, so no "not run" answer can
 * be created once a byte may have reached an endpoint. The permit is restored if the endpoint answers that it did not run
 * the request, or if no connection to it was established.
 */
export class NotRunPermit {
    private isHeld = true;

    private constructor() {}

    /** Creates the permit of a request that has just arrived. */
    static create(): NotRunPermit {
        return new NotRunPermit();
    }

    /** Revokes the permit, since bytes may reach an endpoint from now on. */
    revoke(): void {
        this.isHeld = false;
    }

    /** Restores the permit, since no endpoint has run any part of the request. */
    restore(): void {
        this.isHeld = true;
    }

    /** Checks if the request has certainly not run. */
    isAvailable(): boolean {
        return this.isHeld;
    }

    /**
     * Asserts that a "not run" answer is correct.
     * @throws InvariantError if the request may have run.
     */
    assertAvailable(): void {
        if (!this.isHeld) {
            throw InvariantError.create(
                "notRunIsTrue",
                'A "not run" answer was created for a request that may have run.',
            );
        }
    }
}
