/** The smallest request of a class for which no capacity was found. */
export interface KnownExhaustion {
    cost: number;
    at: number;
    /** Whether a request of the class could be served if nothing else were running. */
    isServable: boolean;
}

/** A request that asks for capacity. */
interface CapacityQuery {
    /** Requests of one class differ only in their cost and in whether they are on time. */
    capacityClass: string;
    isOnTime: boolean;
    cost: number;
    /** Monotonic time in milliseconds. */
    now: number;
}

/**
 * Maximum time for which it is remembered that there is no capacity. Some capacity becomes free by time alone, such as at the end
 * of a suspicion or of a wait for a link. Waiting requests are reviewed at the same interval for this reason.
 */
const maximumAgeMilliseconds = 50;

/**
 * Remembers for which requests no capacity was found, so that the requests that arrive after them are decided without another
 * search. It must be cleared whenever capacity may have become free.
 */
export class ExhaustedCapacity {
    private readonly known = new Map<string, KnownExhaustion>();

    private constructor() {}

    /** Creates an instance that knows of no lack of capacity. */
    static create(): ExhaustedCapacity {
        return new ExhaustedCapacity();
    }

    /** Forgets everything, because capacity may have become free or endpoints have changed. */
    clear(): void {
        this.known.clear();
    }

    /** Gets what is known if there is no capacity for a request; undefined if it must be searched. */
    find({ capacityClass, isOnTime, cost, now }: CapacityQuery): KnownExhaustion | undefined {
        const known = this.known.get(getKey(capacityClass, isOnTime));
        return known !== undefined && cost >= known.cost && now - known.at < maximumAgeMilliseconds ? known : undefined;
    }

    /** Records that a search found no capacity for a request. */
    add({ capacityClass, isOnTime, cost, now }: CapacityQuery): KnownExhaustion {
        const known = { cost, at: now, isServable: false };
        this.known.set(getKey(capacityClass, isOnTime), known);
        return known;
    }
}

function getKey(capacityClass: string, isOnTime: boolean): string {
    return `${isOnTime ? "onTime" : "late"} ${capacityClass}`;
}
