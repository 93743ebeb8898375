/** Token bucket whose rate may change at any time; pure. */
export class TokenBucket {
    private balance: number;
    private ratePerSecond = 0;
    private depth = 1;
    private updatedAt: number;

    private constructor(balance: number, now: number) {
        this.balance = balance;
        this.updatedAt = now;
    }

    /**
     * @param balance - Tokens at the start.
     * @param now - Monotonic time in milliseconds.
     */
    static create(balance: number, now: number): TokenBucket {
        return new TokenBucket(balance, now);
    }

    /** Sets the tokens a second and the most tokens to hold, from now on. */
    setRate(ratePerSecond: number, depth: number, now: number): void {
        this.fill(now);
        this.ratePerSecond = ratePerSecond;
        this.depth = depth;
        this.balance = Math.min(this.balance, depth);
    }

    /**
     * Takes a token.
     * @returns Whether there was one.
     */
    take(now: number): boolean {
        this.fill(now);
        if (this.balance < 1) {
            return false;
        }
        this.balance -= 1;
        return true;
    }

    /** Gives back a token that was taken and not used. */
    giveBack(): void {
        this.balance = Math.min(this.depth, this.balance + 1);
    }

    /** Gets the time until there is a token, in milliseconds; infinite at a rate of 0. */
    getMillisecondsToToken(now: number): number {
        this.fill(now);
        return this.balance >= 1 ? 0 : (1 - this.balance) * 1000 / this.ratePerSecond;
    }

    private fill(now: number): void {
        const earned = Math.max(0, now - this.updatedAt) * this.ratePerSecond / 1000;
        this.balance = Math.min(this.depth, this.balance + earned);
        this.updatedAt = now;
    }
}
