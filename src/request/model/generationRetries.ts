import { RetryDelay } from "../retryDelay.ts";

/** Refusals of a started answer since its last token. */
export interface RefusedTime {
    refusals: number;
    /** Time since the first one. */
    milliseconds: number;
}

/** Maximum number of attempts of one answer. Attempts that were refused after the answer had started don't count. */
const maximumAttempts = 12;
/** Maximum wait of a started answer for a chain that accepts it. */
const waitMilliseconds = 8_000;

/**
 * Decides whether an answer may be attempted again, and after which delay. What the engines have run of a started answer would be lost
 * with it, and a refusal runs nothing, so refusals end it only after a time.
 */
export class GenerationRetries {
    private countedAttempts = 0;
    private refusals = 0;
    private firstRefusalAt = 0;
    private readonly delay = RetryDelay.create();

    private constructor() {}

    /** Creates the state of an answer that was not attempted yet. */
    static create(): GenerationRetries {
        return new GenerationRetries();
    }

    /** Counts an attempt that failed, or that was refused before the answer had started. */
    addFailure(): void {
        this.countedAttempts += 1;
    }

    /**
     * Counts an attempt of a started answer that an engine refused without running the pass.
     * @param now - Monotonic time in milliseconds.
     */
    addRefusal(now: number): void {
        this.firstRefusalAt = this.refusals === 0 ? now : this.firstRefusalAt;
        this.refusals += 1;
    }

    /** Records a token, and returns the refusals before it; undefined if there were none. */
    takeRefusals(now: number): RefusedTime | undefined {
        const { refusals } = this;
        this.refusals = 0;
        this.delay.reset();
        return refusals === 0 ? undefined : { refusals, milliseconds: now - this.firstRefusalAt };
    }

    /** Checks if another attempt is allowed. */
    isAllowed(now: number): boolean {
        return this.countedAttempts < maximumAttempts && now < this.getWaitEnd(now);
    }

    /** Gets the monotonic time until which a started answer waits for a chain, if it begins to wait now. */
    getWaitEnd(now: number): number {
        return (this.refusals === 0 ? now : this.firstRefusalAt) + waitMilliseconds;
    }

    /** Gets the delay before endpoints that failed or refused are tried again, in milliseconds. It grows while they refuse a started answer. */
    takeDelay(): number {
        return this.refusals > 0 ? this.delay.take() : this.delay.get();
    }

    /** Describes for the caller why no other attempt is allowed. */
    describeEnd(): string {
        return this.countedAttempts < maximumAttempts
            ? `No chain accepted the started answer within ${waitMilliseconds} ms.`
            : `The answer failed after ${maximumAttempts} attempts.`;
    }
}
