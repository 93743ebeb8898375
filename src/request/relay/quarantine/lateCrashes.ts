import { LRUCache } from "lru-cache";
import { AnsweredParts } from "./answeredParts.ts";
import { crashThresholds } from "./crashThresholds.ts";
import type { RequestHold } from "./requestHold.ts";
import type { SuspectedCrash } from "./suspectedCrash.ts";

/** A crash of an endpoint that had run a request for a while. */
interface LateCrash {
    /** Monotonic time in milliseconds at which the connection to the endpoint broke. */
    at: number;
    /** Whether this node saw it, so that peers learn of it from here. */
    isOwn: boolean;
}

/** Crashes within this time count as one: endpoints also fail together for another reason, such as that of a rack. */
const coincidenceMilliseconds = 500;
/** Data that an endpoint sent before it crashed may still be read for this long, and does not prove that it is alive. */
const lateDataMilliseconds = 500;
const shortHoldMilliseconds = 60_000;
const longHoldMilliseconds = 600_000;
/** Time after which a crash is forgotten. */
const maximumAgeMilliseconds = 600_000;
/** A crash reaches all nodes within this time. */
const announcementMilliseconds = 5_000;
const maximumRequests = 1_000;
const maximumCrashesPerRequest = 8;
/** Limits the size of messages between nodes. */
const maximumAnnounced = 50;

/**
 * Finds requests that crash endpoints some time after these have begun to answer. All requests that an endpoint runs when it fails are on
 * record with that crash, so that only several crashes, at different times and without a complete answer in between, hold a request back.
 */
export class LateCrashes {
    private readonly getAliveTime: (endpointId: string) => number;
    /** Crashes by fingerprint and endpoint id, the oldest first. */
    private readonly requests = new LRUCache<string, Map<string, LateCrash>>({ max: maximumRequests });
    private readonly completions = AnsweredParts.create();

    private constructor(getAliveTime: (endpointId: string) => number) {
        this.getAliveTime = getAliveTime;
    }

    /**
     * Creates an instance without crashes.
     * @param getAliveTime - Gets the monotonic time in milliseconds at which an endpoint was last seen alive; -Infinity if never.
     */
    static create(getAliveTime: (endpointId: string) => number): LateCrashes {
        return new LateCrashes(getAliveTime);
    }

    /** Records a crash that this node saw. Returns how many are known of the request; 0 if this one is not new. */
    add(crash: SuspectedCrash): number {
        return this.addCrash(crash, true) ? this.requests.get(crash.fingerprint)!.size : 0;
    }

    /** Records a crash that a peer reported. The peer is told soon if the request was answered completely after it. */
    addOfPeer(crash: SuspectedCrash, now: number): void {
        this.completions.noteSuspected(crash.fingerprint, now);
        this.addCrash(crash, false);
    }

    /** Records that an endpoint has answered the request completely, which clears the request of earlier crashes. */
    noteCompletion(fingerprint: string, at: number): void {
        this.completions.add(fingerprint, at);
        if (this.clear(fingerprint, at)) {
            this.completions.noteSuspected(fingerprint, at);
        }
    }

    /** Records that an endpoint has answered the request completely for a peer. */
    noteCompletionAtPeer(fingerprint: string, at: number): void {
        this.completions.addOfPeer(fingerprint, at);
        this.clear(fingerprint, at);
    }

    /** Gets why a request is held back; undefined if it may be sent. */
    getHold(fingerprint: string, now: number): RequestHold | undefined {
        const crashes = this.getCrashes(fingerprint, now);
        const count = countMoments(crashes);
        if (count < crashThresholds.certain) {
            return undefined;
        }
        const newestAt = Math.max(...[...crashes.values()].map(({ at }) => at));
        const hold = count === crashThresholds.certain ? shortHoldMilliseconds : longHoldMilliseconds;
        const remainingMilliseconds = newestAt + hold - now;
        return remainingMilliseconds > 0 ? { endpointIds: [...crashes.keys()], remainingMilliseconds } : undefined;
    }

    /** Lists the crashes to announce to peers: recent ones that this node saw or that follow others, and those of requests that are held back. */
    listCrashes(now: number): SuspectedCrash[] {
        const listed: SuspectedCrash[] = [];
        for (const fingerprint of [...this.requests.keys()]) {
            const crashes = this.getCrashes(fingerprint, now);
            const isHeld = this.getHold(fingerprint, now) !== undefined;
            for (const [endpointId, { at, isOwn }] of crashes) {
                const isRecent = now - at < announcementMilliseconds;
                if (isHeld || isRecent && (isOwn || crashes.size > 1)) {
                    listed.push({ fingerprint, endpointId, at });
                }
            }
            if (listed.length >= maximumAnnounced) {
                break;
            }
        }
        return listed;
    }

    /** Lists when requests that peers suspect were last answered completely. */
    listCompletions(now: number): { key: string; at: number; }[] {
        return this.completions.listSuspected(now);
    }

    private addCrash({ fingerprint, endpointId, at }: SuspectedCrash, isOwn: boolean): boolean {
        const crashes = this.requests.get(fingerprint) ?? new Map<string, LateCrash>();
        if (crashes.has(endpointId) || this.completions.isBeforeAnswer(fingerprint, at, !isOwn)) {
            return false;
        }
        crashes.set(endpointId, { at, isOwn });
        if (crashes.size > maximumCrashesPerRequest) {
            crashes.delete(crashes.keys().next().value!);
        }
        this.requests.set(fingerprint, crashes);
        return true;
    }

    /** Removes the crashes of a request up to a time. Returns whether there were any. */
    private clear(fingerprint: string, until: number): boolean {
        const crashes = this.requests.peek(fingerprint);
        if (crashes === undefined) {
            return false;
        }
        const { size } = crashes;
        for (const [endpointId, { at }] of crashes) {
            if (at <= until) {
                crashes.delete(endpointId);
            }
        }
        this.deleteIfEmpty(fingerprint, crashes);
        return crashes.size < size;
    }

    /** Gets the crashes of a request, without old ones and those of endpoints that turned out to be alive. */
    private getCrashes(fingerprint: string, now: number): ReadonlyMap<string, LateCrash> {
        const crashes = this.requests.peek(fingerprint) ?? new Map<string, LateCrash>();
        for (const [endpointId, { at }] of crashes) {
            if (this.getAliveTime(endpointId) > at + lateDataMilliseconds || now - at > maximumAgeMilliseconds) {
                crashes.delete(endpointId);
            }
        }
        this.deleteIfEmpty(fingerprint, crashes);
        return crashes;
    }

    private deleteIfEmpty(fingerprint: string, { size }: ReadonlyMap<string, LateCrash>): void {
        if (size === 0) {
            this.requests.delete(fingerprint);
        }
    }
}

/** Counts the different times of crashes. */
function countMoments(crashes: ReadonlyMap<string, LateCrash>): number {
    let count = 0;
    let countedAt = -Infinity;
    for (const at of [...crashes.values()].map(crash => crash.at).sort((left, right) => left - right)) {
        if (at - countedAt >= coincidenceMilliseconds) {
            count += 1;
            countedAt = at;
        }
    }
    return count;
}
