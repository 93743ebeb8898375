import { InvariantError } from "../invariantError.ts";

/** Settings of a {@link GrantLedger}. */
export interface GrantLedgerOptions {
    /** How long a grant is remembered, in milliseconds. */
    rememberMilliseconds: number;
}

interface Grant {
    claimant: string;
    recordedAt: number;
}

/** Remembers what this process has granted, apart from the claim log, to check that a key goes to one claimant. */
export class GrantLedger {
    private readonly grants = new Map<string, Grant>();
    private readonly rememberMilliseconds: number;

    private constructor(options: GrantLedgerOptions) {
        this.rememberMilliseconds = options.rememberMilliseconds;
    }

    /** Creates an empty ledger. */
    static create(options: GrantLedgerOptions): GrantLedger {
        return new GrantLedger(options);
    }

    /**
     * Records a grant. Throws an `InvariantError` where the key was granted to another claimant.
     * @param key - Key that is granted.
     * @param claimant - Claimant that gets it.
     * @param monotonicTime - Monotonic time in milliseconds.
     */
    record(key: string, claimant: string, monotonicTime: number): void {
        this.forgetOld(monotonicTime);
        const earlier = this.grants.get(key);
        if (earlier === undefined) {
            this.grants.set(key, { claimant, recordedAt: monotonicTime });
        }
        else if (earlier.claimant !== claimant) {
            throw InvariantError.create(
                "onceGranted",
                `The key ${key} was granted to ${earlier.claimant} and then to ${claimant}. Report this as a fault.`,
            );
        }
    }

    private forgetOld(monotonicTime: number): void {
        for (const [key, grant] of this.grants) {
            if (monotonicTime - grant.recordedAt < this.rememberMilliseconds) {
                return;
            }
            this.grants.delete(key);
        }
    }
}
