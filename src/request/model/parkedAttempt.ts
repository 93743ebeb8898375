import type { ChainAttempt } from "./chainAttempt.ts";

/** Longer than a sound engine is silent. */
const maximumParkedMilliseconds = 3_000;

/**
 * An attempt that failed at a silent or slow engine and may go on there. The engines of its chain hold its sequence, which can't be
 * restored once it is cancelled.
 */
export class ParkedAttempt {
    readonly attempt: ChainAttempt;
    /** Monotonic time in milliseconds at which it first failed since its last token. */
    private readonly parkedAt: number;
    /** Endpoint of the silent or slow engine. */
    private endpoint: string;
    private isDue = false;

    private constructor(attempt: ChainAttempt, endpoint: string, now: number) {
        this.attempt = attempt;
        this.endpoint = endpoint;
        this.parkedAt = now;
    }

    /**
     * Creates the state of an attempt that has failed.
     * @param attempt - The attempt.
     * @param endpoint - Endpoint at which it failed.
     * @param now - Monotonic time in milliseconds.
     */
    static create(attempt: ChainAttempt, endpoint: string, now: number): ParkedAttempt {
        return new ParkedAttempt(attempt, endpoint, now);
    }

    /** Gets the endpoint of the silent or slow engine. */
    getEndpoint(): string {
        return this.endpoint;
    }

    /** Gets the time in milliseconds since it first failed after its last token. */
    getAge(now: number): number {
        return now - this.parkedAt;
    }

    /** Records that it was continued and has failed again without a token. */
    observeFailure(endpoint: string): void {
        this.endpoint = endpoint;
        this.isDue = false;
    }

    /** Checks if an endpoint is part of its chain. */
    hasEndpoint(endpoint: string): boolean {
        return this.attempt.chain.stages.some(stage => stage.endpoint === endpoint);
    }

    /**
     * Records that an engine of its chain has no memory for another attempt, whose later stages may be full too. The parked attempt is
     * then due to be continued, unless its engine won't go on.
     * @param hasEnded - Whether the process of the silent engine is known to have ended.
     * @param now - Monotonic time in milliseconds.
     * @returns Whether it is kept. If not, the other attempt gets its memory.
     */
    keepDespiteRefusal(hasEnded: boolean, now: number): boolean {
        this.isDue = !hasEnded && this.getAge(now) < maximumParkedMilliseconds;
        return this.isDue;
    }

    /** Checks if it is to be continued before another chain is tried. */
    isDueToContinue(): boolean {
        return this.isDue;
    }
}
