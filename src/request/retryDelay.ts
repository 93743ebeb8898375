const initialMilliseconds = 50;
const maximumMilliseconds = 400;

/** The delay before endpoints that have failed or refused a request are asked again. It doubles with each use, up to a maximum. */
export class RetryDelay {
    private nextMilliseconds = initialMilliseconds;

    private constructor() {}

    /** Creates the delay of a request that has not waited yet. */
    static create(): RetryDelay {
        return new RetryDelay();
    }

    /** Gets the delay of the next wait, in milliseconds. */
    get(): number {
        return this.nextMilliseconds;
    }

    /** Gets the delay of a wait that begins, in milliseconds. The next one is longer. */
    take(): number {
        const { nextMilliseconds } = this;
        this.nextMilliseconds = Math.min(2 * nextMilliseconds, maximumMilliseconds);
        return nextMilliseconds;
    }

    /** Begins anew, after the request has made progress. */
    reset(): void {
        this.nextMilliseconds = initialMilliseconds;
    }
}
