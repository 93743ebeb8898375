import { CallKind } from "./callKind.ts";

/** Counts the calls that reached the platform, by kind, and those that a rate limit refused. */
export class CallCounts {
    private counts = createZeroCounts();
    private rateLimited = 0;

    private constructor() {
    }

    /** Creates counts that are all 0. */
    static create(): CallCounts {
        return new CallCounts();
    }

    /** Counts one call; a watch counts once for as long as it waits. */
    add(kind: CallKind): void {
        this.counts[kind]++;
    }

    /** Counts one refusal by a rate limit; the call itself is counted too. */
    addRateLimited(): void {
        this.rateLimited++;
    }

    /** Sets all counts to 0. */
    reset(): void {
        this.counts = createZeroCounts();
        this.rateLimited = 0;
    }

    /** Gets a copy of the counts. */
    getCounts(): Record<CallKind, number> & { rateLimited: number; } {
        return { ...this.counts, rateLimited: this.rateLimited };
    }
}

function createZeroCounts(): Record<CallKind, number> {
    return Object.fromEntries(Object.values(CallKind).map(kind => [kind, 0])) as Record<CallKind, number>;
}
