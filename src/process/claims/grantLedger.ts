import { InvariantError } from "../invariantError.ts";

/** Options of a {@link GrantLedger}. */
export interface GrantLedgerOptions {
    /** How long a grant is remembered, in milliseconds. */
    retentionMilliseconds: number;
}

interface Grant {
    claimant: string;
    recordedAt: number;
}

/** Records the grants of this process independently of the claim log, to check that a key has only one claimant. */
export class GrantLedger {
    private readonly grants = new Map<string, Grant>();
    private readonly retentionMilliseconds: number;

    private constructor(options: GrantLedgerOptions) {
        this.retentionMilliseconds = options.retentionMilliseconds;
    }

    /** Creates an empty ledger. */
    static create(options: GrantLedgerOptions): GrantLedger {
        return new GrantLedger(options);
    }

    /**
     * Records a grant. Throws an `InvariantError` if the key was granted to another claimant before.
     * @param key - Granted key.
     * @param claimant - Claimant that the key is granted to.
     * @param monotonicTime - Monotonic time in milliseconds.
     */
    record(key: string, claimant: string, monotonicTime: number): void {
        this.removeExpired(monotonicTime);
        const earlier = this.grants.get(key);
        if (earlier === undefined) {
            this.grants.set(key, { claimant, recordedAt: monotonicTime });
        }
        else if (earlier.claimant !== claimant) {
            throw InvariantError.create(
                "onceGranted",
                `Key ${key} was granted to ${earlier.claimant} and then to ${claimant}. Report this as a bug.`,
            );
        }
    }

    private removeExpired(monotonicTime: number): void {
        for (const [key, grant] of this.grants) {
            if (monotonicTime - grant.recordedAt < this.retentionMilliseconds) {
                return;
            }
            this.grants.delete(key);
        }
    }
}
