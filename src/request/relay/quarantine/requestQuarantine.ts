import { LRUCache } from "lru-cache";
import type { EventLog } from "../../../process/logging/eventLog.ts";
import { events } from "../../../process/logging/events.ts";
import type { RequestHold } from "./requestHold.ts";
import type { SuspectedCrash } from "./suspectedCrash.ts";

/** Options of a {@link RequestQuarantine}. */
interface RequestQuarantineOptions {
    log: EventLog;
    /** Gets the monotonic time in milliseconds at which an endpoint was last seen alive; -Infinity if never. */
    getAliveTime(endpointId: string): number;
    /** Called when an endpoint seems to have crashed, with whether the request is held back. Peers must be informed immediately. */
    onCrash?(isHeldBack: boolean): void;
}

/** Times at which the connections to crashed endpoints broke, by endpoint id. */
type CrashTimes = Map<string, number>;

/**
 * Minimum number of crashed endpoints for a request to be held back. A single crash is weak evidence: all requests that the
 * endpoint was just beginning to run are suspected, and nearly all of them are harmless. Continuing after the second crash costs
 * another endpoint for each attempt.
 */
const minimumCrashes = 2;
/** From this number of crashes on, the cause is not a coincidence. */
const certainCrashes = 3;
/** A harmless request that was on the same endpoint as a harmful one twice is allowed again after this time. */
const shortHoldMilliseconds = 60_000;
const longHoldMilliseconds = 600_000;
/** Data that an endpoint sent before it crashed may still be read for this long, and does not prove that it is alive. */
const lateDataMilliseconds = 500;
/** A suspected crash reaches all nodes within this time. Afterwards only the crashes of requests that are held back are announced. */
const announcementMilliseconds = 5_000;
/** Limits the size of messages between nodes and of the stored record. */
const maximumListedCrashes = 100;
const maximumRefutations = 100;
/** Maximum numbers of tracked requests. */
const maximumSuspectRequests = 1_000;
const maximumSafeRequests = 4_096;

/**
 * Holds back requests that crash the endpoints that run them. Tracks suspected crashes by request, across all nodes and all
 * retries of the caller. Otherwise retries by nodes and callers would send such a request to one endpoint after another,
 * until no endpoint is left that can be the first stage of a chain.
 */
export class RequestQuarantine {
    private readonly options: RequestQuarantineOptions;
    /** By fingerprint. */
    private readonly suspectRequests = new LRUCache<string, CrashTimes>({ max: maximumSuspectRequests });
    /** Fingerprints of requests that an endpoint has run without crashing, so that they did not cause other crashes. */
    private readonly safeRequests = new LRUCache<string, true>({ max: maximumSafeRequests });
    /** Monotonic times in milliseconds at which a peer last suspected a safe request, by fingerprint. */
    private readonly refutedAt = new LRUCache<string, number>({ max: maximumRefutations });

    private constructor(options: RequestQuarantineOptions) {
        this.options = options;
    }

    /** Creates a quarantine without requests. */
    static create(options: RequestQuarantineOptions): RequestQuarantine {
        return new RequestQuarantine(options);
    }

    /**
     * Records that an endpoint seems to have crashed when it began to run a request. The record is dropped if the endpoint
     * turns out to be alive.
     * @param crash - The suspected crash.
     * @param requestId - Id of this attempt, for the log.
     * @param details - Further details of the attempt, for the log.
     */
    noteCrash(crash: SuspectedCrash, requestId: string, details: Readonly<Record<string, string | number>> = {}): void {
        if (!this.addCrash(crash)) {
            return;
        }
        const { fingerprint, endpointId, at } = crash;
        const isHeldBack = this.getHold(fingerprint, at) !== undefined;
        const entry = { request: requestId, fingerprint, endpoint: endpointId, isHeldBack, ...details };
        this.options.log.write(events.endpointCrashSuspected, entry);
        this.options.onCrash?.(isHeldBack);
    }

    /** Adds a suspected crash that a peer reported. The peer is told soon if the request is safe. */
    addPeerCrash(crash: SuspectedCrash, now: number): void {
        if (this.safeRequests.has(crash.fingerprint)) {
            this.refutedAt.set(crash.fingerprint, now);
            return;
        }
        this.addCrash(crash);
    }

    /** Gets the fingerprints of safe requests that peers have suspected lately. */
    getRefutations(now: number): string[] {
        return [...this.refutedAt.entries()]
            .filter(([, at]) => now - at < announcementMilliseconds)
            .map(([fingerprint]) => fingerprint);
    }

    /**
     * Clears a request of suspicion because an endpoint has run it for a peer without crashing. That does not outweigh so many crashes that
     * they are no coincidence.
     */
    applyRefutation(fingerprint: string): void {
        const endpoints = this.suspectRequests.get(fingerprint);
        if (endpoints !== undefined && endpoints.size < certainCrashes) {
            this.options.log.write(events.requestCleared, { fingerprint });
            this.markSafe(fingerprint);
        }
    }

    /** Records that an endpoint has run a request without crashing, which clears the request of all suspicion. */
    markSafe(fingerprint: string): void {
        this.suspectRequests.delete(fingerprint);
        this.safeRequests.set(fingerprint, true);
    }

    /**
     * Gets why a request is held back; undefined if it may be sent.
     * @param fingerprint - Fingerprint of the request.
     * @param now - Monotonic time in milliseconds.
     */
    getHold(fingerprint: string, now: number): RequestHold | undefined {
        const endpoints = this.suspectRequests.get(fingerprint);
        return endpoints === undefined || endpoints.size < minimumCrashes
            ? undefined
            : this.findHold(endpoints, now, this.listCertain(now));
    }

    /** Gets the crashes to announce to peers: recent ones, and those of held-back requests for nodes that have just started. */
    getCrashes(now: number): SuspectedCrash[] {
        return this.listCrashes(now, announcementMilliseconds);
    }

    /** Gets the crashes of requests that are held back. */
    getHeldCrashes(now: number): SuspectedCrash[] {
        return this.listCrashes(now, 0);
    }

    /** Lists the crashes of requests that are held back, and all recent crashes. */
    private listCrashes(now: number, maximumAgeMilliseconds: number): SuspectedCrash[] {
        const crashes: SuspectedCrash[] = [];
        const certain = this.listCertain(now);
        for (const [fingerprint, endpoints] of this.suspectRequests.entries()) {
            const isHeld = this.findHold(endpoints, now, certain) !== undefined;
            for (const [endpointId, at] of endpoints) {
                if (isHeld || now - at < maximumAgeMilliseconds) {
                    crashes.push({ fingerprint, endpointId, at });
                }
            }
            if (crashes.length >= maximumListedCrashes) {
                break;
            }
        }
        return crashes;
    }

    /** Adds a suspected crash. Returns whether it is new. */
    private addCrash({ fingerprint, endpointId, at }: SuspectedCrash): boolean {
        const endpoints: CrashTimes = this.suspectRequests.get(fingerprint) ?? new Map();
        if (this.safeRequests.has(fingerprint) || endpoints.has(endpointId)) {
            return false;
        }
        endpoints.set(endpointId, at);
        this.suspectRequests.set(fingerprint, endpoints);
        return true;
    }

    /** Lists the crashes of each request that has crashed so many endpoints that it is no coincidence. */
    private listCertain(now: number): CrashTimes[] {
        const certain: CrashTimes[] = [];
        for (const endpoints of this.suspectRequests.values()) {
            this.removeStale(endpoints, now);
            if (endpoints.size >= certainCrashes) {
                certain.push(endpoints);
            }
        }
        return certain;
    }

    private findHold(
        endpoints: CrashTimes,
        now: number,
        certain: readonly CrashTimes[],
    ): RequestHold | undefined {
        this.removeStale(endpoints, now);
        if (endpoints.size < minimumCrashes || endpoints.size < certainCrashes && isExplained(endpoints, certain)) {
            return undefined;
        }
        const hold = endpoints.size < certainCrashes ? shortHoldMilliseconds : longHoldMilliseconds;
        const remainingMilliseconds = Math.max(...endpoints.values()) + hold - now;
        return remainingMilliseconds > 0 ? { endpointIds: [...endpoints.keys()], remainingMilliseconds } : undefined;
    }

    /** Removes endpoints that turned out to be alive, and crashes that happened long ago. */
    private removeStale(endpoints: CrashTimes, now: number): void {
        for (const [endpointId, at] of endpoints) {
            const isAlive = this.options.getAliveTime(endpointId) > at + lateDataMilliseconds;
            if (isAlive || now - at > longHoldMilliseconds) {
                endpoints.delete(endpointId);
            }
        }
    }
}

/**
 * Checks if one other request that has certainly crashed endpoints was on all endpoints of a suspect request when they crashed. The
 * suspect may then be harmless; if it isn't, its next crash is one that the other request doesn't explain.
 */
function isExplained(endpoints: CrashTimes, certain: readonly CrashTimes[]): boolean {
    const ids = [...endpoints.keys()];
    return certain.some(crashes => ids.every(id => crashes.has(id)));
}
