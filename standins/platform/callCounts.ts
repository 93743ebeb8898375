import { CallKind } from "./callKind.ts";

/** Counts the calls to the platform by kind, and the calls refused by a rate limit. */
export class CallCounts {
    private counts = createZeroCounts();
    private rateLimited = 0;

    private constructor() {
    }

    /** Creates counts of 0. */
    static create(): CallCounts {
        return new CallCounts();
    }

    /** Counts a call. A watch counts once, however long it stays open. */
    add(kind: CallKind): void {
        this.counts[kind]++;
    }

    /** Counts a call refused by a rate limit, in addition to its count by kind. */
    addRateLimited(): void {
        this.rateLimited++;
    }

    /** Resets all counts to 0. */
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
