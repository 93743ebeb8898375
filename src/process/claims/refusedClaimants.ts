import type { ClaimVerdict } from "./claimVerdict.ts";

/** How long a refusal is kept. Longer than any request waits for its claim. */
const retentionMilliseconds = 60_000;

interface Refusal {
    verdict: ClaimVerdict;
    refusedAt: number;
}

/** Keeps the verdicts of refused claimants so that their keys are not granted to them later. */
export class RefusedClaimants {
    private readonly refusals = new Map<string, Refusal>();

    private constructor() {}

    /** Creates an instance without refusals. */
    static create(): RefusedClaimants {
        return new RefusedClaimants();
    }

    /** Gets the verdict of a refused claimant, or undefined if it was not refused. */
    getVerdict(claimant: string): ClaimVerdict | undefined {
        return this.refusals.get(claimant)?.verdict;
    }

    /**
     * Adds a refused claimant and removes expired ones.
     * @param claimant - Refused claimant.
     * @param verdict - Verdict given to the claimant.
     * @param monotonicTime - Monotonic time in milliseconds.
     */
    add(claimant: string, verdict: ClaimVerdict, monotonicTime: number): void {
        for (const [old, { refusedAt }] of this.refusals) {
            if (monotonicTime - refusedAt < retentionMilliseconds) {
                break;
            }
            this.refusals.delete(old);
        }
        this.refusals.set(claimant, { verdict, refusedAt: monotonicTime });
    }
}
