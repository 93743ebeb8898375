import type { StreamAttempt } from "./streamAttempt.ts";

/**
 * The attempts of a streamed request that are in progress. The newest one is in use. Those before it were not ended for it, since what
 * makes them seem lost may pass: they go on until one of all makes progress.
 */
export class RunningAttempts {
    private readonly attempts: StreamAttempt[] = [];

    private constructor() {}

    /** Creates an instance without attempts. */
    static create(): RunningAttempts {
        return new RunningAttempts();
    }

    /** Adds an attempt that begins. It is the one in use. */
    add(attempt: StreamAttempt): void {
        this.attempts.push(attempt);
    }

    /** Removes an attempt that ends. If it was in use, the newest of the others is. */
    remove(attempt: StreamAttempt): void {
        const index = this.attempts.indexOf(attempt);
        if (index !== -1) {
            this.attempts.splice(index, 1);
        }
    }

    /** Checks if an attempt is in progress. */
    has(attempt: StreamAttempt): boolean {
        return this.attempts.includes(attempt);
    }

    /** Gets the attempt in use; undefined if there is none. */
    getCurrent(): StreamAttempt | undefined {
        return this.attempts.at(-1);
    }

    /** Lists the attempts, the oldest first. The list doesn't change as attempts begin and end. */
    list(): StreamAttempt[] {
        return [...this.attempts];
    }

    /** Lists the attempts but one. The list doesn't change as attempts begin and end. */
    listOthers(attempt: StreamAttempt): StreamAttempt[] {
        return this.attempts.filter(other => other !== attempt);
    }

    /** Checks if bytes of the request may have been sent by one of the attempts. */
    isAnySent(): boolean {
        return this.attempts.some(({ exchange }) => exchange?.getSentTime() !== undefined);
    }
}
