/** Number of attempts in a row without a pause, as another endpoint may be free. */
const immediateAttempts = 2;
/** Pause after the refusal of the last of these. It doubles with each further refusal, up to the maximum. */
const initialPauseMilliseconds = 100;
const maximumPauseMilliseconds = 400;
/** Time after the last refusal from which suspect endpoints are tried if there are no others, since their suspicion may last for seconds. */
const suspectPauseMilliseconds = 500;
/** Time for which a request isn't sent again to an endpoint that has refused it: endpoints release memory as other requests end. */
const refusalMilliseconds = 300;

/**
 * Decides when a stream that has begun may be sent again after endpoints refused it. A refusal has run nothing, so it must not end the
 * answer; without pauses, a stream would use up the retry budget of its node before an endpoint can become free.
 */
export class ResumePacing {
    private refusals = 0;
    private pauseEndsAt = -Infinity;
    private lastRefusedAt = -Infinity;
    private readonly refusedAt = new Map<string, number>();
    /** Ids of the endpoints that have broken off the request after events. */
    private readonly brokenOffBy = new Set<string>();

    private constructor() {}

    /** Creates the pacing of a request that no endpoint has refused. */
    static create(): ResumePacing {
        return new ResumePacing();
    }

    /**
     * Records that an endpoint has refused the request, or that the request could not be sent to it. Neither has run anything. Times are
     * monotonic, in milliseconds.
     */
    noteRefusal(endpointId: string, now: number): void {
        this.refusedAt.set(endpointId, now);
        this.refusals += 1;
        this.lastRefusedAt = now;
        const excess = this.refusals - immediateAttempts;
        if (excess >= 0) {
            this.pauseEndsAt = now + Math.min(initialPauseMilliseconds * 2 ** excess, maximumPauseMilliseconds);
        }
    }

    /**
     * Records that an endpoint has broken off the request after events, and goes on with others. The stream may return to it like to one that
     * has refused it, unless an endpoint fails the request: a stream that makes no progress elsewhere would only be broken off again.
     */
    noteBreakAfterProgress(endpointId: string, now: number): void {
        this.noteRefusal(endpointId, now);
        this.brokenOffBy.add(endpointId);
    }

    /** Records that an endpoint has failed the request, so that its refusals before don't matter any more. */
    noteFailure(endpointId: string): void {
        for (const id of [endpointId, ...this.brokenOffBy]) {
            this.refusedAt.delete(id);
        }
        this.brokenOffBy.clear();
    }

    /** Records that the stream makes progress, so that its next refusal is a first one again. */
    noteProgress(): void {
        this.refusals = 0;
        this.pauseEndsAt = -Infinity;
        this.lastRefusedAt = -Infinity;
    }

    /** Checks if suspect endpoints may be tried, if there are no others. */
    mayTrySuspects(now: number): boolean {
        return this.refusals < immediateAttempts || now - this.lastRefusedAt >= suspectPauseMilliseconds;
    }

    /** Gets for how many milliseconds the request must not be sent yet; 0 if it may be sent. */
    getPause(now: number): number {
        return Math.max(0, this.pauseEndsAt - now);
    }

    /** Lists the endpoints that have refused the request at any time, and have not failed it since. */
    listRefused(): string[] {
        return [...this.refusedAt.keys()];
    }

    /** Gets the endpoint that was the last to refuse the request; undefined if there is none. */
    getLastRefusing(): string | undefined {
        return [...this.refusedAt].find(([, at]) => at === this.lastRefusedAt)?.[0];
    }

    /** Lists the endpoints that have refused the request so recently that they would refuse it again. */
    listRefusing(now: number): string[] {
        return [...this.refusedAt].filter(([, at]) => now - at < refusalMilliseconds).map(([id]) => id);
    }

    /** Lists the endpoints that refused the request so long ago that they may accept it now. */
    listRecovered(now: number): string[] {
        return [...this.refusedAt].filter(([, at]) => now - at >= refusalMilliseconds).map(([id]) => id);
    }
}
