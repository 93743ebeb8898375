import { LRUCache } from "lru-cache";
import { AnsweredParts } from "./answeredParts.ts";
import { crashThresholds } from "./crashThresholds.ts";
import { crashTimes } from "./crashTimes.ts";
import { isCrashOutdated } from "./isCrashOutdated.ts";
import type { RequestHold } from "./requestHold.ts";
import type { SuspectedCrash } from "./suspectedCrash.ts";

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
    /** Monotonic times in milliseconds at which connections to endpoints broke, by fingerprint and endpoint id, in the order of arrival. */
    private readonly requests = new LRUCache<string, Map<string, number>>({ max: maximumRequests });
    /** Fingerprints of requests with several crashes; few of those that are on record. */
    private readonly repeated = new Set<string>();
    /** Crashes that this node saw lately, the oldest first. */
    private recent: SuspectedCrash[] = [];
    /** Complete answers to requests, by fingerprint in place of the key of a part. */
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
        if (!this.repeated.has(fingerprint)) {
            return undefined;
        }
        const crashes = this.getCrashes(fingerprint, now);
        const count = countMoments(crashes.values());
        if (count < crashThresholds.certain) {
            return undefined;
        }
        const newestAt = Math.max(...crashes.values());
        const hold = count === crashThresholds.certain
            ? crashTimes.shortHoldMilliseconds
            : crashTimes.longHoldMilliseconds;
        const remainingMilliseconds = newestAt + hold - now;
        return remainingMilliseconds > 0 ? { endpointIds: [...crashes.keys()], remainingMilliseconds } : undefined;
    }

    /** Lists the crashes to announce to peers: recent ones that follow others or that this node saw, and those of requests that are held back. */
    listCrashes(now: number): SuspectedCrash[] {
        const listed: SuspectedCrash[] = [];
        for (const fingerprint of [...this.repeated]) {
            const isHeld = this.getHold(fingerprint, now) !== undefined;
            for (const [endpointId, at] of this.getCrashes(fingerprint, now)) {
                if (isHeld || isRecent(at, now)) {
                    listed.push({ fingerprint, endpointId, at });
                }
            }
        }
        const single = this.recent.filter(({ fingerprint, at }) =>
            isRecent(at, now) && this.requests.has(fingerprint) && !this.repeated.has(fingerprint)
        );
        return [...listed, ...single].slice(0, maximumAnnounced);
    }

    /** Lists when requests that peers suspect were last answered completely. */
    listCompletions(now: number): { key: string; at: number; }[] {
        return this.completions.listSuspected(now);
    }

    private addCrash({ fingerprint, endpointId, at }: SuspectedCrash, isOwn: boolean): boolean {
        const crashes = this.requests.get(fingerprint) ?? new Map<string, number>();
        if (crashes.has(endpointId) || this.completions.isBeforeAnswer(fingerprint, at, !isOwn)) {
            return false;
        }
        crashes.set(endpointId, at);
        if (crashes.size > maximumCrashesPerRequest) {
            crashes.delete(crashes.keys().next().value!);
        }
        this.requests.set(fingerprint, crashes);
        this.updateIndex(fingerprint, crashes);
        if (isOwn) {
            this.recent = [...this.recent.filter(crash => isRecent(crash.at, at)), { fingerprint, endpointId, at }];
        }
        return true;
    }

    /** Removes the crashes of a request up to a time. Returns whether there were any. */
    private clear(fingerprint: string, until: number): boolean {
        return this.removeCrashes(fingerprint, (_endpointId, at) => at <= until);
    }

    /** Gets the crashes of a request, without old ones and those of endpoints that turned out to be alive. */
    private getCrashes(fingerprint: string, now: number): ReadonlyMap<string, number> {
        this.removeCrashes(fingerprint, (endpointId, at) => isCrashOutdated(at, this.getAliveTime(endpointId), now));
        return this.requests.peek(fingerprint) ?? new Map<string, number>();
    }

    private removeCrashes(fingerprint: string, isRemoved: (endpointId: string, at: number) => boolean): boolean {
        const crashes = this.requests.peek(fingerprint) ?? new Map<string, number>();
        const { size } = crashes;
        for (const [endpointId, at] of crashes) {
            if (isRemoved(endpointId, at)) {
                crashes.delete(endpointId);
            }
        }
        this.updateIndex(fingerprint, crashes);
        return crashes.size < size;
    }

    private updateIndex(fingerprint: string, { size }: ReadonlyMap<string, number>): void {
        if (size === 0) {
            this.requests.delete(fingerprint);
        }
        if (size < crashThresholds.minimum) {
            this.repeated.delete(fingerprint);
        }
        else {
            this.repeated.add(fingerprint);
        }
    }
}

function isRecent(at: number, now: number): boolean {
    return now - at < crashTimes.announcementMilliseconds;
}

/** Counts the different times of crashes, of which those that may be a coincidence count as one. */
function countMoments(times: Iterable<number>): number {
    let count = 0;
    let countedAt = -Infinity;
    for (const at of [...times].sort((left, right) => left - right)) {
        if (at - countedAt >= crashTimes.coincidenceMilliseconds) {
            count += 1;
            countedAt = at;
        }
    }
    return count;
}
