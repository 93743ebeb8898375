/**
 * Time after which the loss of a column that no endpoint can take as a whole counts as final: longer than it takes endpoints to register
 * beside each other, or to return from most crashes.
 */
const finalMilliseconds = 8_000;

/** Tracks for how long services have lacked columns that no endpoint can take as a whole. */
export class LostColumnTracker {
    /** Monotonic times in milliseconds, by service. */
    private readonly lostSince = new Map<string, number>();

    private constructor() {}

    /** Creates an instance without losses. */
    static create(): LostColumnTracker {
        return new LostColumnTracker();
    }

    /** Checks if the loss of a column of a service counts as final. */
    isFinal(service: string, now: number): boolean {
        return now >= this.getFinalTime(service);
    }

    /** Gets the monotonic time in milliseconds from which on the loss counts as final; Infinity without a loss. */
    getFinalTime(service: string): number {
        return (this.lostSince.get(service) ?? Infinity) + finalMilliseconds;
    }

    /** Records whether a service lacks such a column at a check. */
    update(service: string, isColumnLost: boolean, now: number): void {
        if (!isColumnLost) {
            this.lostSince.delete(service);
        }
        else if (!this.lostSince.has(service)) {
            this.lostSince.set(service, now);
        }
    }
}
