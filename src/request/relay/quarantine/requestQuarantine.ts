import { LRUCache } from "lru-cache";
import type { EventLog } from "../../../process/logging/eventLog.ts";
import { events } from "../../../process/logging/events.ts";
import { AnsweredParts } from "./answeredParts.ts";
import type { CanaryOrder } from "./canaryOrder.ts";
import { CanarySchedule } from "./canarySchedule.ts";
import { crashThresholds } from "./crashThresholds.ts";
import { crashTimes } from "./crashTimes.ts";
import { isPartKey } from "./isPartKey.ts";
import { LateCrashes } from "./lateCrashes.ts";
import type { PartHold } from "./partHold.ts";
import type { RequestHold } from "./requestHold.ts";
import type { Suspect } from "./suspect.ts";
import type { SuspectedCrash } from "./suspectedCrash.ts";
import { SuspectList } from "./suspectList.ts";
import { SuspectVerdict } from "./suspectVerdict.ts";
import type { UnprovenBreak } from "./unprovenBreak.ts";
import { UnprovenBreaks } from "./unprovenBreaks.ts";

/** Options of a {@link RequestQuarantine}. */
interface RequestQuarantineOptions {
    log: EventLog;
    /** Gets the monotonic time in milliseconds at which an endpoint was last seen alive; -Infinity if never. */
    getAliveTime(endpointId: string): number;
    /** Gets the place of this node in the order in which nodes send canaries for a part. Default: it is the only node. */
    getCanaryOrder?(key: string): CanaryOrder;
    /** Called when an endpoint seems to have crashed, with whether the request is held back. Peers must be informed immediately. */
    onCrash?(isHeldBack: boolean): void;
    /** Called when an answer has cleared a part that was held back. Peers must be informed immediately. */
    onCleared?(): void;
}

/** A suspected crash of an endpoint, and everything that may have caused it. */
interface RunCrash extends SuspectedCrash {
    /** Keys of the suspected parts of the request's prompt. */
    partKeys?: readonly string[];
    /** Keys of the parts for which the request was a canary. */
    canaryKeys?: readonly string[];
}

/** Time after which a request with a part that is held back may be sent again, since a canary may have cleared the part. */
const unsureRetryMilliseconds = 1_000;
/** Time in which an endpoint that seems to have crashed is heard again if it is alive, counted from the time of the crash. */
const refutationMilliseconds = 1_000;
/** Limits the size of messages between nodes and of the stored record. */
const maximumListedCrashes = 100;
const maximumCrashesPerPart = 8;
const maximumRefutations = 100;
const maximumSafeRequests = 4_096;

/**
 * Holds back requests that crash the endpoints that run them: whole requests, and requests with a part in their prompts that crashes
 * endpoints whatever else they hold. Tracks suspected crashes by request and by part, across all nodes and all retries of the caller.
 * Otherwise retries by nodes and callers would send such a request to one endpoint after another, until no endpoint is left that can be
 * the first stage of a chain.
 */
export class RequestQuarantine {
    readonly lateCrashes: LateCrashes;
    /** Broken connections that count as crashes once their endpoints are known to have restarted or to be down. */
    private readonly unprovenBreaks = UnprovenBreaks.create();
    private readonly options: RequestQuarantineOptions;
    private readonly suspects: SuspectList;
    private readonly answeredParts = AnsweredParts.create();
    private readonly canaries: CanarySchedule;
    /** Fingerprints of requests that an endpoint has run without crashing, so that they did not cause other crashes. */
    private readonly safeRequests = new LRUCache<string, true>({ max: maximumSafeRequests });
    /** Monotonic times in milliseconds at which a peer last suspected a safe request, by fingerprint. */
    private readonly refutedAt = new LRUCache<string, number>({ max: maximumRefutations });

    private constructor(options: RequestQuarantineOptions) {
        this.options = options;
        this.lateCrashes = LateCrashes.create(endpointId => options.getAliveTime(endpointId));
        this.suspects = SuspectList.create({
            getAliveTime: endpointId => options.getAliveTime(endpointId),
            wasAnswered: key => this.answeredParts.getTime(key) !== undefined,
        });
        this.canaries = CanarySchedule.create(key => options.getCanaryOrder?.(key) ?? { rank: 0, nodes: 1 });
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
    noteCrash(
        crash: RunCrash,
        requestId: string,
        details: Readonly<Record<string, string | number | boolean>> = {},
    ): void {
        const { fingerprint, endpointId, at, isDown, isSudden, partKeys = [], canaryKeys = [] } = crash;
        let isNew = !this.safeRequests.has(fingerprint)
            && this.suspects.add({ fingerprint, endpointId, at, isSudden }, at);
        for (const key of partKeys) {
            this.answeredParts.noteSuspected(key, at);
            const isCanary = canaryKeys.includes(key);
            const isAdded = !this.answeredParts.isBeforeAnswer(key, at, false)
                && this.suspects.add({ fingerprint: key, endpointId, at, isDown, isCanary, isSudden }, at);
            isNew ||= isAdded;
        }
        this.canaries.noteCrash(canaryKeys, at);
        if (!isNew) {
            return;
        }
        const isHeldBack = this.getHold(fingerprint, at) !== undefined || this.getPartHold(partKeys, at) !== undefined;
        this.announceCrash(crash, requestId, isHeldBack, details);
    }

    /**
     * Records that an endpoint has crashed some time after it had begun to answer a request. A single crash is on record for all requests
     * of the endpoint, so it is neither logged nor announced at once.
     */
    noteLateCrash(
        crash: SuspectedCrash,
        requestId: string,
        details: Readonly<Record<string, string | number | boolean>> = {},
    ): void {
        const { fingerprint, at } = crash;
        if (this.lateCrashes.add(crash) < crashThresholds.minimum) {
            return;
        }
        const isHeldBack = this.getHold(fingerprint, at) !== undefined;
        this.announceCrash(crash, requestId, isHeldBack, details);
    }

    /** Adds a suspected crash that a peer reported. The peer is told soon if the request is safe or the part was answered. */
    addPeerCrash(crash: SuspectedCrash, now: number): void {
        const { fingerprint } = crash;
        if (isPartKey(fingerprint)) {
            this.answeredParts.noteSuspected(fingerprint, now);
            if (!this.answeredParts.isBeforeAnswer(fingerprint, crash.at, true)) {
                this.suspects.add(crash, now);
            }
            return;
        }
        if (this.safeRequests.has(fingerprint)) {
            this.refutedAt.set(fingerprint, now);
            return;
        }
        this.suspects.add(crash, now);
    }

    /** Adds a broken connection that counts as a crash once its endpoint is known to have restarted, which it may be by now, or to be down. */
    addUnprovenBreak(added: UnprovenBreak): void {
        if (this.unprovenBreaks.add(added)) {
            this.suspects.confirm(added.endpointId);
        }
    }

    /** Forgets the broken connections that can't be proven any more. */
    forgetOldBreaks(now: number): void {
        this.unprovenBreaks.forgetOld(now);
    }

    /**
     * Records that an endpoint has restarted under the same id: connections that broke just before did so in a crash, and its answers don't show
     * that it never crashed.
     */
    noteRestart(endpointId: string, now: number): void {
        this.unprovenBreaks.proveByRestart(endpointId, now);
        this.suspects.confirm(endpointId);
    }

    /** Records that an endpoint that wasn't about to leave is proven to be down: connections that broke just before did so in a crash. */
    noteDown(endpointId: string, now: number): void {
        this.unprovenBreaks.proveByLoss(endpointId, now);
    }

    /** Gets the fingerprints of safe requests that peers have suspected lately. */
    getRefutations(now: number): string[] {
        return [...this.refutedAt.entries()]
            .filter(([, at]) => now - at < crashTimes.announcementMilliseconds)
            .map(([fingerprint]) => fingerprint);
    }

    /** Lists the parts that were suspected lately, and when endpoints last began to answer requests with them. */
    getAnsweredParts(now: number): { key: string; at: number; }[] {
        return this.answeredParts.listSuspected(now);
    }

    /**
     * Clears a request of suspicion because an endpoint has run it for a peer without crashing. That does not outweigh so many crashes that
     * they are no coincidence.
     */
    applyRefutation(fingerprint: string, now: number): void {
        const suspect = this.suspects.get(fingerprint);
        if (suspect !== undefined && this.suspects.judge(fingerprint, now) !== SuspectVerdict.Certain) {
            this.options.log.write(events.requestCleared, { fingerprint });
            this.markSafe(fingerprint);
        }
    }

    /** Clears a part of the crashes before an endpoint began to answer a request with it for a peer. */
    applyAnsweredPart(key: string, at: number, now: number): void {
        this.clearPart(key, at, now);
        this.answeredParts.addOfPeer(key, at);
        this.suspects.noteAnswered(key);
    }

    /** Records that an endpoint has run a request without crashing, which clears the request of all suspicion. */
    markSafe(fingerprint: string): void {
        this.suspects.delete(fingerprint);
        this.safeRequests.set(fingerprint, true);
    }

    /**
     * Records that an endpoint has begun to answer a request without crashing, which clears its parts of all earlier crashes. A part may
     * become harmful later.
     * @param keys - Keys of the request's parts.
     * @param at - Monotonic time in milliseconds at which the answer began.
     * @param now - Monotonic time in milliseconds.
     */
    markPartsAnswered(keys: readonly string[], at: number, now: number): void {
        for (const key of keys) {
            const { isCleared, wasHeld } = this.clearPart(key, at, now);
            this.answeredParts.add(key, at);
            this.suspects.noteAnswered(key);
            if (isCleared) {
                this.answeredParts.noteSuspected(key, now);
            }
            if (wasHeld) {
                this.options.onCleared?.();
            }
        }
    }

    /**
     * Gets why a request is held back; undefined if it may be sent.
     * @param fingerprint - Fingerprint of the request.
     * @param now - Monotonic time in milliseconds.
     */
    getHold(fingerprint: string, now: number): RequestHold | undefined {
        return this.getStartHold(fingerprint, now) ?? this.lateCrashes.getHold(fingerprint, now);
    }

    /** Gets why a request is held back that crashes endpoints as they begin to run it. */
    private getStartHold(fingerprint: string, now: number): RequestHold | undefined {
        const verdict = this.suspects.judge(fingerprint, now);
        const suspect = this.suspects.get(fingerprint);
        if (verdict === SuspectVerdict.Free || suspect === undefined) {
            return undefined;
        }
        const hold = verdict === SuspectVerdict.Unsure
            ? crashTimes.shortHoldMilliseconds
            : crashTimes.longHoldMilliseconds;
        const remainingMilliseconds = getNewestCrash(suspect) + hold - now;
        return remainingMilliseconds > 0
            ? { endpointIds: [...suspect.crashes.keys()], remainingMilliseconds }
            : undefined;
    }

    /**
     * Gets for how many milliseconds it may still turn out that a request is held back for endpoints that are alive; 0 if that is sure, or
     * if the request isn't held back so.
     */
    getDoubt(fingerprint: string, now: number): number {
        const isUnsure = this.suspects.judge(fingerprint, now) === SuspectVerdict.Unsure;
        const suspect = isUnsure ? this.suspects.get(fingerprint) : undefined;
        const isRefutable = suspect !== undefined
            && [...suspect.crashes.values()].some(({ isConfirmed }) => !isConfirmed);
        return isRefutable ? Math.max(0, getNewestCrash(suspect) + refutationMilliseconds - now) : 0;
    }

    /**
     * Gets why requests with some parts in their prompts are held back; undefined if they may be sent.
     * @param keys - Keys of the parts.
     * @param now - Monotonic time in milliseconds.
     */
    getPartHold(keys: readonly string[], now: number): PartHold | undefined {
        const held = keys.filter(key => this.suspects.judge(key, now) !== SuspectVerdict.Free);
        if (held.length === 0) {
            return undefined;
        }
        const suspects = held.map(key => this.suspects.get(key)!);
        const newestCrashAt = Math.max(...suspects.map(getNewestCrash));
        const isCertain = held.some(key => this.suspects.judge(key, now) === SuspectVerdict.Certain);
        return {
            parts: held,
            endpointIds: [...new Set(suspects.flatMap(({ crashes }) => [...crashes.keys()]))],
            isCertain,
            newestCrashAt,
            remainingMilliseconds: isCertain
                ? newestCrashAt + crashTimes.longHoldMilliseconds - now
                : unsureRetryMilliseconds,
        };
    }

    /**
     * Checks if a request with parts that are held back may be sent as a canary, to find out whether one of them is the cause.
     * @returns The time until which it may be sent; undefined if it may not.
     */
    takeCanary({ parts, newestCrashAt }: PartHold, now: number): number | undefined {
        return this.canaries.take(parts, newestCrashAt, now);
    }

    /** Gets the crashes to announce to peers: recent ones, and those of suspects that are held back for nodes that have just started. */
    getCrashes(now: number): SuspectedCrash[] {
        return this.listCrashes(now, crashTimes.announcementMilliseconds);
    }

    /** Gets the crashes of suspects that are held back. */
    getHeldCrashes(now: number): SuspectedCrash[] {
        return this.listCrashes(now, 0);
    }

    /** Lists the crashes of suspects that are held back, and all recent crashes. Those of the most suspect come first. */
    private listCrashes(now: number, maximumAgeMilliseconds: number): SuspectedCrash[] {
        const crashes: SuspectedCrash[] = [];
        for (const suspect of this.suspects.listBySuspicion(now)) {
            const { key, isPart } = suspect;
            const isHeld = isPart
                ? this.suspects.judge(key, now) !== SuspectVerdict.Free
                : this.getStartHold(key, now) !== undefined;
            for (const [endpointId, { at, isDown, isCanary, isSudden }] of listNewest(suspect)) {
                if (isHeld || now - at < maximumAgeMilliseconds) {
                    const details = { ...isPart ? { isDown, isCanary } : {}, ...isSudden ? { isSudden } : {} };
                    crashes.push({ fingerprint: key, endpointId, at, ...details });
                }
            }
            if (crashes.length >= maximumListedCrashes) {
                break;
            }
        }
        return crashes;
    }

    private announceCrash(
        { fingerprint, endpointId, at, isDown = false }: SuspectedCrash,
        requestId: string,
        isHeldBack: boolean,
        details: Readonly<Record<string, string | number | boolean>>,
    ): void {
        const entry = { request: requestId, fingerprint, endpoint: endpointId, isHeldBack, isDown };
        const aliveAt = this.options.getAliveTime(endpointId);
        const heardMilliseconds = aliveAt === -Infinity ? -1 : Math.round(at - aliveAt);
        this.options.log.write(events.endpointCrashSuspected, { ...entry, heardMilliseconds, ...details });
        this.options.onCrash?.(isHeldBack);
    }

    /** Clears a part of the crashes up to a time. Returns whether there were any, and whether it was held back and no longer is. */
    private clearPart(key: string, until: number, now: number): { isCleared: boolean; wasHeld: boolean; } {
        const wasSuspect = this.suspects.judge(key, now) !== SuspectVerdict.Free;
        const isCleared = this.suspects.clearUntil(key, until);
        const wasHeld = isCleared && wasSuspect && this.suspects.judge(key, now) === SuspectVerdict.Free;
        if (wasHeld) {
            this.canaries.forget(key);
            this.options.log.write(events.promptPartCleared, { part: key });
        }
        return { isCleared, wasHeld };
    }
}

function getNewestCrash({ crashes }: Suspect): number {
    return Math.max(...[...crashes.values()].map(({ at }) => at));
}

/** Lists crashes of a suspect, those under canaries and then the newest first. For a part, some of them show enough. */
function listNewest({ crashes, isPart }: Suspect) {
    const sorted = [...crashes].sort(([, left], [, right]) =>
        Number(right.isCanary) - Number(left.isCanary) || right.at - left.at
    );
    return isPart ? sorted.slice(0, maximumCrashesPerPart) : [...crashes];
}
