import type { CacheEvent } from "../../src/connection/endpoint/engineProtocol.ts";
import type { Clock } from "../../src/process/clock.ts";
import { modelFunction } from "./model/modelFunction.ts";

const maximumEvents = 20000;

/** Options of {@link CacheEventLog}. */
interface CacheEventLogOptions {
    clock: Clock;
    /** Delay before an event is published, in milliseconds. */
    delayMilliseconds: number;
    /** Average number of events per lost event; 0 if none are lost. */
    gapEvery: number;
    seed: number;
}

/** Cache events of an engine, published with a delay and with gaps. */
export class CacheEventLog {
    private readonly options: CacheEventLogOptions;
    private readonly events: { event: CacheEvent; publicationTime: number; }[] = [];
    private lastSequenceNumber = 0;

    private constructor(options: CacheEventLogOptions) {
        this.options = options;
    }

    /** Creates an empty log. */
    static create(options: CacheEventLogOptions): CacheEventLog {
        return new CacheEventLog(options);
    }

    /** Adds an event. Some events are dropped after they got a sequence number, which leaves a gap. */
    add(kind: CacheEvent["kind"], prefixHash: string): void {
        const { clock, delayMilliseconds, gapEvery, seed } = this.options;
        const sequence = ++this.lastSequenceNumber;
        if (gapEvery > 0 && (modelFunction.mix(seed, sequence) >>> 0) % gapEvery === 0) {
            return;
        }
        const publicationTime = clock.getMonotonicTime() + delayMilliseconds;
        this.events.push({ event: { sequence, kind, prefixHash }, publicationTime });
        if (this.events.length > maximumEvents) {
            this.events.shift();
        }
    }

    /** Gets the published events whose sequence number is higher than `after`. */
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

    /** Gets the highest assigned sequence number. */
    getLastSequenceNumber(): number {
        return this.lastSequenceNumber;
    }
}
