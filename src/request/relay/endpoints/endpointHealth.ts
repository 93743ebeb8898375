import type { RandomSource } from "../../../process/randomSource.ts";
import { decay } from "./decay.ts";
import type { Suspicion } from "./suspicion.ts";

/** State of an endpoint as observed by this node. */
interface HealthRecord {
    /** Moving average of the share of exchanges that failed, 0 to 1. */
    failureShare: number;
    updatedAt: number;
    /** Monotonic time in milliseconds until which the endpoint is considered unavailable. */
    suspectUntil: number;
    /** Monotonic time in milliseconds until which the endpoint is known to refuse new requests. */
    refusingUntil: number;
    /** Consecutive times that the endpoint was unavailable. */
    consecutiveFailures: number;
    /** Monotonic time in milliseconds of its last answer, or of the last event of a stream that it took part in. */
    aliveAt: number;
}

/** Weight of the newest exchange in the moving average, which covers about the last six exchanges. */
const newestWeight = 0.3;
/** Half-life of the average, so that an endpoint that has failed is tried again. */
const halfLifeMilliseconds = 3_000;
/** Backoff before an unavailable endpoint is tried again. It doubles with each consecutive failure up to the maximum. */
const initialBackoffMilliseconds = 400;
const maximumBackoffMilliseconds = 4_000;
/**
 * Time for which new requests avoid an endpoint that refuses them. A leaving endpoint ends, or is marked in its record, within a
 * few seconds. After this time, a few of the nodes try it again.
 */
const refusingMilliseconds = 3_000;
/** Time after which an endpoint that refused requests counts like one that has never done so. */
const recentRefusalMilliseconds = 3_000;
/** Maximum jitter between nodes that try a refusing endpoint again: the first node that does so informs the others. */
const maximumRefusalJitterMilliseconds = 1_500;
/** Time for which each check that an endpoint doesn't answer extends its suspicion: longer than the time to the next check. */
const silentSuspicionMilliseconds = 1_400;
/** Time without events after which an endpoint may be unavailable: several times the usual time between events. */
const livenessMilliseconds = 300;

/** Detects failing endpoints from the results of exchanges, since their health checks may still pass. */
export class EndpointHealth {
    private readonly records = new Map<string, HealthRecord>();
    /** Jitter of this node before it tries a refusing endpoint again, in milliseconds. */
    private readonly refusalJitterMilliseconds: number;

    private readonly onUnreachable: (endpointId: string) => void;

    private constructor(refusalJitterMilliseconds: number, onUnreachable: (endpointId: string) => void) {
        this.refusalJitterMilliseconds = refusalJitterMilliseconds;
        this.onUnreachable = onUnreachable;
    }

    /**
     * Creates an instance in which all endpoints are healthy.
     * @param random - Source of this node's jitter.
     * @param onUnreachable - Called when there is evidence that an endpoint is lost.
     */
    static create(
        random: RandomSource = () => 0,
        onUnreachable: (endpointId: string) => void = () => undefined,
    ): EndpointHealth {
        return new EndpointHealth(random() * maximumRefusalJitterMilliseconds, onUnreachable);
    }

    /** Checks if new requests should avoid the endpoint, because it is considered unavailable or refuses them. */
    isSuspect(endpointId: string, now: number): boolean {
        const record = this.records.get(endpointId);
        return record !== undefined
            && (record.suspectUntil > now || record.refusingUntil + this.refusalJitterMilliseconds > now);
    }

    /**
     * Records that the endpoint refuses new requests for another reason than a lack of free memory. Events that still come from
     * it are no sign to the contrary, since a leaving endpoint completes the requests that it has.
     * @returns Whether this wasn't known before.
     */
    addRefusal(endpointId: string, now: number): boolean {
        return this.markRefusing(endpointId, refusingMilliseconds, now);
    }

    /** Checks if the endpoint refuses requests or was known to do so until recently. */
    hasRefusedRecently(endpointId: string, now: number): boolean {
        const refusingUntil = this.records.get(endpointId)?.refusingUntil ?? -Infinity;
        return now - refusingUntil < recentRefusalMilliseconds;
    }

    /** Gets the share of recent exchanges that failed, 0 to 1. */
    getFailureShare(endpointId: string, now: number): number {
        const record = this.records.get(endpointId);
        if (record === undefined) {
            return 0;
        }
        return decay(record.failureShare, now - record.updatedAt, halfLifeMilliseconds);
    }

    /** Gets the endpoints that are considered unavailable or refuse requests, to report them to peers. */
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

    /** Records a successful exchange. */
    addSuccess(endpointId: string, now: number): void {
        if (!this.records.has(endpointId)) {
            return;
        }
        const record = this.update(endpointId, 0, now);
        record.consecutiveFailures = 0;
        record.suspectUntil = -Infinity;
    }

    /** Records that the endpoint answered, or that an event of a stream came through it. */
    markAlive(endpointId: string, now: number): void {
        this.getRecord(endpointId, now).aliveAt = now;
    }

    /** Gets the monotonic time in milliseconds at which the endpoint was last seen alive; -Infinity if it never was. */
    getLastAliveTime(endpointId: string): number {
        return this.records.get(endpointId)?.aliveAt ?? -Infinity;
    }

    /** Records a failed exchange with an endpoint that may still be healthy. */
    addFailure(endpointId: string, now: number): void {
        this.update(endpointId, 1, now);
    }

    /** Records that the endpoint accepts no connection or stalls its chains. */
    markUnavailable(endpointId: string, now: number): void {
        this.markRejecting(endpointId, now);
        this.onUnreachable(endpointId);
    }

    /** Records that an endpoint does not answer. New requests avoid it until it is heard again, as long as the checks go on. */
    markSilent(endpointId: string, now: number): void {
        if (!this.isSuspect(endpointId, now)) {
            this.markUnavailable(endpointId, now);
            return;
        }
        const record = this.getRecord(endpointId, now);
        record.suspectUntil = Math.max(record.suspectUntil, now + silentSuspicionMilliseconds);
        this.onUnreachable(endpointId);
    }

    /** Records that no node can connect to the endpoint any more. It is tried again, since connections may also end one by one. */
    markUnreachable(endpointId: string): void {
        this.onUnreachable(endpointId);
    }

    /** Records that the endpoint rejected a request that it should have accepted. Its answer shows that it isn't lost. */
    markRejecting(endpointId: string, now: number): void {
        const record = this.update(endpointId, 1, now);
        const backoff = initialBackoffMilliseconds * 2 ** record.consecutiveFailures;
        record.consecutiveFailures += 1;
        record.suspectUntil = Math.max(record.suspectUntil, now + Math.min(backoff, maximumBackoffMilliseconds));
    }

    /**
     * Applies a peer's suspicion, which ends when it ends at the peer. A suspicion that an endpoint is unavailable is ignored
     * while this node receives events from it: it may be unreachable for the peer alone, and all nodes would lose its capacity.
     * @returns Whether other peers should be informed at once.
     */
    applySuspicion({ endpointId, remainingMilliseconds, isRefusing }: Suspicion, now: number): boolean {
        const remaining = Math.min(remainingMilliseconds, maximumBackoffMilliseconds);
        if (isRefusing) {
            return this.markRefusing(endpointId, remaining, now);
        }
        const record = this.getRecord(endpointId, now);
        if (now - record.aliveAt >= livenessMilliseconds) {
            record.suspectUntil = Math.max(record.suspectUntil, now + remaining);
        }
        return false;
    }

    private markRefusing(endpointId: string, milliseconds: number, now: number): boolean {
        const record = this.getRecord(endpointId, now);
        const isNew = record.refusingUntil <= now;
        record.refusingUntil = Math.max(record.refusingUntil, now + milliseconds);
        return isNew;
    }

    /** Removes endpoints that are no longer registered. */
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
        const existing = this.records.get(endpointId);
        if (existing !== undefined) {
            return existing;
        }
        const record = {
            failureShare: 0,
            updatedAt: now,
            suspectUntil: -Infinity,
            refusingUntil: -Infinity,
            consecutiveFailures: 0,
            aliveAt: -Infinity,
        };
        this.records.set(endpointId, record);
        return record;
    }
}
