/** What an endpoint said of its speed. */
export interface SlownessReading {
    endpointId: string;
    /** Factor on its usual times; above 1 where it is slow. */
    factor: number;
    /** Time since the reading, in milliseconds. */
    age: number;
}

/** A reading as it is kept. */
interface KeptReading {
    factor: number;
    readAt: number;
    /** When it was last read as slow; long ago where it never was. */
    slowAt: number;
}

/** Readings below this are of endpoints as fast as usual. */
const slowFactor = 1.05;
/** A reading counts for this long; the endpoint is asked again before. */
const readingMilliseconds = 6_000;

/** The newest reading of each endpoint's speed, by whichever node asked it. */
export class EndpointSlowness {
    private readonly readings = new Map<string, KeptReading>();

    private constructor() {}

    /** Creates a record without readings. */
    static create(): EndpointSlowness {
        return new EndpointSlowness();
    }

    /** Gets the factor on an endpoint's usual times; 1 where nothing is known. */
    getFactor(endpointId: string, now: number): number {
        const reading = this.readings.get(endpointId);
        return reading === undefined || now - reading.readAt > readingMilliseconds ? 1 : reading.factor;
    }

    /** Notes a reading, unless a newer one is known. */
    note({ endpointId, factor, age }: SlownessReading, now: number): void {
        const readAt = now - age;
        const known = this.readings.get(endpointId);
        if (known === undefined || known.readAt < readAt) {
            const slowAt = factor > slowFactor ? readAt : known?.slowAt ?? -Infinity;
            this.readings.set(endpointId, { factor, readAt, slowAt });
        }
    }

    /** Gets the readings that still count, for the peers: of endpoints that are slow, or were a moment ago. */
    getReadings(now: number): SlownessReading[] {
        const readings: SlownessReading[] = [];
        for (const [endpointId, { factor, readAt, slowAt }] of this.readings) {
            if (now - readAt > readingMilliseconds) {
                this.readings.delete(endpointId);
                continue;
            }
            if (now - slowAt > 2 * readingMilliseconds) {
                continue;
            }
            readings.push({ endpointId, factor, age: Math.round(now - readAt) });
        }
        return readings;
    }
}
