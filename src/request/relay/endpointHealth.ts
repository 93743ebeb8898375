import type { RandomSource } from "../../process/randomSource.ts";
import { forget } from "./forget.ts";
import type { Suspicion } from "./suspicion.ts";

/** What this node has seen of one endpoint's behaviour. */
interface HealthRecord {
    /** Moving average of failed exchanges, 0 to 1. */
    failureShare: number;
    updatedAt: number;
    /** Monotonic time in milliseconds until which the endpoint is taken as lost. */
    suspectUntil: number;
    /** Monotonic time in milliseconds until which the endpoint is known to refuse new requests. */
    refusingUntil: number;
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
/** An endpoint that leaves is gone, or its record tells of it, within a few seconds; a few of the nodes look again after this time. */
const refusingMilliseconds = 3_000;
/** Nodes look again at times that differ by up to this, and whoever is first tells the others. */
const lookAgainMilliseconds = 1_500;
/** Several times the usual time between events; an endpoint that none came from for so long may be lost. */
const aliveMilliseconds = 300;

/** Finds endpoints that fail from the results of exchanges, since health checks may be good all the while. */
export class EndpointHealth {
    private readonly records = new Map<string, HealthRecord>();
    /** How much later than the others this node looks again at an endpoint that refuses, in milliseconds. */
    private readonly ownDelay: number;

    private constructor(ownDelay: number) {
        this.ownDelay = ownDelay;
    }

    /**
     * Creates a record in which all endpoints are sound.
     * @param random - Sets nodes apart.
     */
    static create(random: RandomSource = () => 0): EndpointHealth {
        return new EndpointHealth(random() * lookAgainMilliseconds);
    }

    /** Whether new requests keep away from the endpoint: it is taken as lost, or known to refuse them. */
    isSuspect(endpointId: string, now: number): boolean {
        const record = this.records.get(endpointId);
        return record !== undefined && (record.suspectUntil > now || record.refusingUntil + this.ownDelay > now);
    }

    /**
     * Notes that the endpoint refuses new requests, and not for want of room. That events of it still come says nothing against it:
     * one that leaves serves to their end the requests that it has.
     * @returns Whether this is news.
     */
    addRefusal(endpointId: string, now: number): boolean {
        return this.noteRefusing(endpointId, refusingMilliseconds, now);
    }

    /** Gets the share of exchanges that failed lately, 0 to 1. */
    getFailureShare(endpointId: string, now: number): number {
        const record = this.records.get(endpointId);
        if (record === undefined) {
            return 0;
        }
        return forget(record.failureShare, now - record.updatedAt, forgettingMilliseconds);
    }

    /** Gets the endpoints that are taken as lost or known to refuse, for the peers. */
    getSuspicions(now: number): Suspicion[] {
        const suspicions: Suspicion[] = [];
        for (const [endpointId, { suspectUntil, refusingUntil }] of this.records) {
            const isRefusing = refusingUntil > now;
            if (isRefusing || suspectUntil > now) {
                const until = isRefusing ? refusingUntil : suspectUntil;
                suspicions.push({ endpointId, remainingMilliseconds: until - now, isRefusing });
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
     * @returns Whether it is news that other peers should know at once.
     */
    addSuspicion({ endpointId, remainingMilliseconds, isRefusing }: Suspicion, now: number): boolean {
        const remaining = Math.min(remainingMilliseconds, longestSuspicionMilliseconds);
        if (isRefusing) {
            return this.noteRefusing(endpointId, remaining, now);
        }
        const record = this.getRecord(endpointId, now);
        if (now - record.aliveAt >= aliveMilliseconds) {
            record.suspectUntil = Math.max(record.suspectUntil, now + remaining);
        }
        return false;
    }

    private noteRefusing(endpointId: string, milliseconds: number, now: number): boolean {
        const record = this.getRecord(endpointId, now);
        const isNews = record.refusingUntil <= now;
        record.refusingUntil = Math.max(record.refusingUntil, now + milliseconds);
        return isNews;
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
        const record = {
            failureShare: 0,
            updatedAt: now,
            suspectUntil: 0,
            refusingUntil: 0,
            failuresInRow: 0,
            aliveAt: -Infinity,
        };
        this.records.set(endpointId, record);
        return record;
    }
}
