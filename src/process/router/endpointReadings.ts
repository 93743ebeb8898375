import type { EndpointReading } from "./endpointReading.ts";
/** A reading as it is kept. */
interface KeptReading {
    factor: number;
    hiddenTokenLayers: number;
    readAt: number;
    /** When it last said anything unusual; long ago where it never did. */
    unusualAt: number;
}

/** Readings below this are of endpoints as fast as usual. */
const slowFactor = 1.05;
/** A reading counts for this long; the endpoint is asked again before. */
const readingMilliseconds = 6_000;

/** The newest reading of each endpoint, by whichever node asked it. */
export class EndpointReadings {
    private readonly readings = new Map<string, KeptReading>();

    private constructor() {}

    /** Creates a record without readings. */
    static create(): EndpointReadings {
        return new EndpointReadings();
    }

    /** Gets the factor on an endpoint's usual times; 1 where nothing is known. */
    getFactor(endpointId: string, now: number): number {
        return this.getCurrent(endpointId, now)?.factor ?? 1;
    }

    /** Gets the memory in use that no node's requests explain, in tokens times layers. */
    getHiddenTokenLayers(endpointId: string, now: number): number {
        return this.getCurrent(endpointId, now)?.hiddenTokenLayers ?? 0;
    }

    /** Notes a reading, unless a newer one is known. */
    note({ endpointId, factor, hiddenTokenLayers, age }: EndpointReading, now: number): void {
        const readAt = now - age;
        const known = this.readings.get(endpointId);
        if (known === undefined || known.readAt < readAt) {
            const isUnusual = factor > slowFactor || hiddenTokenLayers > 0;
            const unusualAt = isUnusual ? readAt : known?.unusualAt ?? -Infinity;
            this.readings.set(endpointId, { factor, hiddenTokenLayers, readAt, unusualAt });
        }
    }

    /** Gets the readings that still count, for the peers: of endpoints that are unusual, or were a moment ago. */
    getReadings(now: number): EndpointReading[] {
        const readings: EndpointReading[] = [];
        for (const [endpointId, { factor, hiddenTokenLayers, readAt, unusualAt }] of this.readings) {
            if (now - readAt > readingMilliseconds) {
                this.readings.delete(endpointId);
                continue;
            }
            if (now - unusualAt > 2 * readingMilliseconds) {
                continue;
            }
            readings.push({ endpointId, factor, hiddenTokenLayers, age: Math.round(now - readAt) });
        }
        return readings;
    }

    private getCurrent(endpointId: string, now: number): KeptReading | undefined {
        const reading = this.readings.get(endpointId);
        return reading === undefined || now - reading.readAt > readingMilliseconds ? undefined : reading;
    }
}
