import type { CacheEvent } from "../../src/connection/endpoint/engineProtocol.ts";
import type { Clock } from "../../src/process/clock.ts";
import { modelFunction } from "./model/modelFunction.ts";

const keptEvents = 20000;

/** Options of {@link CacheEventLog}. */
interface CacheEventLogOptions {
    clock: Clock;
    /** Time from an event to its publication, in milliseconds. */
    delayMilliseconds: number;
    /** About one event in so many is lost; 0 for none. */
    gapEvery: number;
    seed: number;
}

/** The cache events of an engine, published late and with gaps. */
export class CacheEventLog {
    private readonly options: CacheEventLogOptions;
    private readonly events: { event: CacheEvent; publicationTime: number; }[] = [];
    private sequence = 0;

    private constructor(options: CacheEventLogOptions) {
        this.options = options;
    }

    /** Creates an empty log. */
    static create(options: CacheEventLogOptions): CacheEventLog {
        return new CacheEventLog(options);
    }

    /** Adds an event, or loses it. */
    add(kind: CacheEvent["kind"], prefixHash: string): void {
        const { clock, delayMilliseconds, gapEvery, seed } = this.options;
        const sequence = ++this.sequence;
        if (gapEvery > 0 && (modelFunction.mix(seed, sequence) >>> 0) % gapEvery === 0) {
            return;
        }
        const publicationTime = clock.getMonotonicTime() + delayMilliseconds;
        this.events.push({ event: { sequence, kind, prefixHash }, publicationTime });
        if (this.events.length > keptEvents) {
            this.events.shift();
        }
    }

    /** Gets the published events after a sequence number. */
    getEvents(after: number): CacheEvent[] {
        const now = this.options.clock.getMonotonicTime();
        const published: CacheEvent[] = [];
        for (const { event, publicationTime } of this.events) {
            if (publicationTime > now) {
                break;
            }
            if (event.sequence > after) {
                published.push(event);
            }
        }
        return published;
    }

    /** Gets the highest sequence number given out. */
    getSequence(): number {
        return this.sequence;
    }
}
