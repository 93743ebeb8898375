import type { EndpointReading } from "./endpointReading.ts";

/** A stored reading. */
interface StoredReading {
    factor: number;
    hiddenTokenLayers: number;
    readAt: number;
    /** Time of the last unusual reading; -Infinity if there was none. */
    unusualAt: number;
}

/** An endpoint with a factor up to this one counts as being as fast as usual. */
const usualFactorLimit = 1.05;
/** Time to live of a reading. The endpoint is polled again within it. */
const readingTtlMilliseconds = 6_000;

/** The newest reading of each endpoint, from whichever node polled it. */
export class EndpointReadings {
    private readonly readings = new Map<string, StoredReading>();

    private constructor() {}

    /** Creates an empty collection. */
    static create(): EndpointReadings {
        return new EndpointReadings();
    }

    /** Gets the factor on an endpoint's usual times; 1 if it is unknown. */
    getFactor(endpointId: string, now: number): number {
        return this.getCurrent(endpointId, now)?.factor ?? 1;
    }

    /** Gets the memory in use that the requests of no node explain, in tokens times layers. */
    getHiddenTokenLayers(endpointId: string, now: number): number {
        return this.getCurrent(endpointId, now)?.hiddenTokenLayers ?? 0;
    }

    /** Stores a reading, unless a newer one is known. */
    add({ endpointId, factor, hiddenTokenLayers, age }: EndpointReading, now: number): void {
        const readAt = now - age;
        const known = this.readings.get(endpointId);
        if (known === undefined || known.readAt < readAt) {
            const isUnusual = factor > usualFactorLimit || hiddenTokenLayers > 0;
            const unusualAt = isUnusual ? readAt : known?.unusualAt ?? -Infinity;
            this.readings.set(endpointId, { factor, hiddenTokenLayers, readAt, unusualAt });
        }
    }

    /** Gets the current readings to send to peers: those of endpoints that are unusual or were so recently. */
    getReadings(now: number): EndpointReading[] {
        const readings: EndpointReading[] = [];
        for (const [endpointId, { factor, hiddenTokenLayers, readAt, unusualAt }] of this.readings) {
            if (now - readAt > readingTtlMilliseconds) {
                this.readings.delete(endpointId);
                continue;
            }
            if (now - unusualAt > 2 * readingTtlMilliseconds) {
                continue;
            }
            readings.push({ endpointId, factor, hiddenTokenLayers, age: Math.round(now - readAt) });
        }
        return readings;
    }

    private getCurrent(endpointId: string, now: number): StoredReading | undefined {
        const reading = this.readings.get(endpointId);
        return reading === undefined || now - reading.readAt > readingTtlMilliseconds ? undefined : reading;
    }
}
