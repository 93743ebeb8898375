import type { ClaimVerdict } from "./claimVerdict.ts";

/** How long a refusal is remembered, in milliseconds; no request waits for its claim as long. */
const rememberMilliseconds = 60_000;

interface Refusal {
    verdict: ClaimVerdict;
    refusedAt: number;
}

/** Remembers the verdicts of the refused claimants, so that none of them is granted its key later. */
export class RefusedClaimants {
    private readonly refusals = new Map<string, Refusal>();

    private constructor() {}

    /** Creates an empty memory. */
    static create(): RefusedClaimants {
        return new RefusedClaimants();
    }

    /** Gets the verdict of a claimant; undefined where it was not refused. */
    getVerdict(claimant: string): ClaimVerdict | undefined {
        return this.refusals.get(claimant)?.verdict;
    }

    /**
     * Adds a claimant and forgets old ones.
     * @param claimant - Claimant that is refused.
     * @param verdict - Verdict that it gets.
     * @param monotonicTime - Monotonic time in milliseconds.
     */
    add(claimant: string, verdict: ClaimVerdict, monotonicTime: number): void {
        for (const [old, { refusedAt }] of this.refusals) {
            if (monotonicTime - refusedAt < rememberMilliseconds) {
                break;
            }
            this.refusals.delete(old);
        }
        this.refusals.set(claimant, { verdict, refusedAt: monotonicTime });
    }
}
