import { forget } from "./forget.ts";
import type { Suspicion } from "./suspicion.ts";

/** What this node has seen of one endpoint's behaviour. */
interface HealthRecord {
    /** Moving average of failed exchanges, 0 to 1. */
    failureShare: number;
    updatedAt: number;
    /** Monotonic time in milliseconds until which the endpoint is taken as lost. */
    suspectUntil: number;
    /** Failures in a row. */
    failuresInRow: number;
    /** Monotonic time in milliseconds of its last answer, or of the last event of a stream that passed through it. */
    aliveAt: number;
}

/** Weight of the newest exchange in the average: about the last six exchanges count. */
const newestWeight = 0.3;
/** The average halves in this time, so that an endpoint that had failed is tried again. */
const forgettingMilliseconds = 3_000;
/** An endpoint without a connection is tried again after this time at first; it doubles with each failure in a row. */
const shortestSuspicionMilliseconds = 400;
const longestSuspicionMilliseconds = 4_000;
/** Events come every 20 to 60 ms, and twice that under load; an endpoint that none came from for so long may be lost. */
const aliveMilliseconds = 300;

/** Finds endpoints that fail from the results of exchanges, since health checks may be good all the while. */
export class EndpointHealth {
    private readonly records = new Map<string, HealthRecord>();

    private constructor() {}

    /** Creates a record in which all endpoints are sound. */
    static create(): EndpointHealth {
        return new EndpointHealth();
    }

    /** Whether the endpoint is taken as lost at this time. */
    isSuspect(endpointId: string, now: number): boolean {
        return (this.records.get(endpointId)?.suspectUntil ?? 0) > now;
    }

    /** Gets the share of exchanges that failed lately, 0 to 1. */
    getFailureShare(endpointId: string, now: number): number {
        const record = this.records.get(endpointId);
        if (record === undefined) {
            return 0;
        }
        return forget(record.failureShare, now - record.updatedAt, forgettingMilliseconds);
    }

    /** Gets the endpoints that are taken as lost, for the peers. */
    getSuspicions(now: number): Suspicion[] {
        const suspicions: Suspicion[] = [];
        for (const [endpointId, { suspectUntil }] of this.records) {
            if (suspectUntil > now) {
                suspicions.push({ endpointId, remainingMilliseconds: suspectUntil - now });
            }
        }
        return suspicions;
    }

    /** Notes an exchange that went well. */
    addSuccess(endpointId: string, now: number): void {
        if (!this.records.has(endpointId)) {
            return;
        }
        const record = this.update(endpointId, 0, now);
        record.failuresInRow = 0;
        record.suspectUntil = 0;
    }

    /** Notes that an event of a stream passed through the endpoint, or that it answered. */
    noteAlive(endpointId: string, now: number): void {
        this.getRecord(endpointId, now).aliveAt = now;
    }

    /** Gets the monotonic time in milliseconds at which the endpoint was last seen alive; -Infinity where it never was. */
    getAliveTime(endpointId: string): number {
        return this.records.get(endpointId)?.aliveAt ?? -Infinity;
    }

    /** Notes an exchange that failed, of an endpoint that may still be sound. */
    addFailure(endpointId: string, now: number): void {
        this.update(endpointId, 1, now);
    }

    /** Notes that the endpoint takes no connection or holds up its chains. */
    addLoss(endpointId: string, now: number): void {
        const record = this.update(endpointId, 1, now);
        const pause = shortestSuspicionMilliseconds * 2 ** record.failuresInRow;
        record.failuresInRow += 1;
        record.suspectUntil = Math.max(record.suspectUntil, now + Math.min(pause, longestSuspicionMilliseconds));
    }

    /**
     * Takes a peer's suspicion over; it ends when the peer's does. Not that of an endpoint whose events come here: it may be
     * out of reach for the peer alone, and to take it for lost would take its room from all nodes.
     */
    addSuspicion(suspicion: Suspicion, now: number): void {
        const record = this.getRecord(suspicion.endpointId, now);
        if (now - record.aliveAt < aliveMilliseconds) {
            return;
        }
        const remaining = Math.min(suspicion.remainingMilliseconds, longestSuspicionMilliseconds);
        record.suspectUntil = Math.max(record.suspectUntil, now + remaining);
    }

    /** Forgets endpoints that are not registered any more. */
    retain(endpointIds: ReadonlySet<string>): void {
        for (const endpointId of this.records.keys()) {
            if (!endpointIds.has(endpointId)) {
                this.records.delete(endpointId);
            }
        }
    }

    private update(endpointId: string, failure: 0 | 1, now: number): HealthRecord {
        const share = this.getFailureShare(endpointId, now);
        const record = this.getRecord(endpointId, now);
        record.failureShare = share + newestWeight * (failure - share);
        record.updatedAt = now;
        return record;
    }

    private getRecord(endpointId: string, now: number): HealthRecord {
        const known = this.records.get(endpointId);
        if (known !== undefined) {
            return known;
        }
        const record = { failureShare: 0, updatedAt: now, suspectUntil: 0, failuresInRow: 0, aliveAt: -Infinity };
        this.records.set(endpointId, record);
        return record;
    }
}
