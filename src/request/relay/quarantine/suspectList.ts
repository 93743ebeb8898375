import { findConvicted } from "./findConvicted.ts";
import { isCrashOutdated } from "./isCrashOutdated.ts";
import { isPartKey } from "./isPartKey.ts";
import { judgeSuspect } from "./judgeSuspect.ts";
import { mayExplainOthers } from "./mayExplainOthers.ts";
import { resolveCoincidences } from "./resolveCoincidences.ts";
import type { Suspect, SuspectCrash } from "./suspect.ts";
import type { SuspectedCrash } from "./suspectedCrash.ts";
import { SuspectVerdict } from "./suspectVerdict.ts";

/** Options of a {@link SuspectList}. */
interface SuspectListOptions {
    /** Gets the monotonic time in milliseconds at which an endpoint was last seen alive; -Infinity if never. */
    getAliveTime(endpointId: string): number;
    /** Checks if an endpoint has begun to answer a request with a part at some time. */
    wasAnswered(key: string): boolean;
}

/** Time for which verdicts are kept while no crash is added or removed. */
const reviewMilliseconds = 50;
const maximumSuspects = 1_000;
/** Number of suspects that are forgotten at once if there are too many, since all have to be judged for that. */
const evictedSuspects = 50;
/** Those with the lower number are forgotten first and listed last. */
const verdictRanks = { [SuspectVerdict.Free]: 0, [SuspectVerdict.Unsure]: 1, [SuspectVerdict.Certain]: 2 };

/** The requests and parts of prompts that endpoints may have crashed under, with the verdict on each. */
export class SuspectList {
    private readonly options: SuspectListOptions;
    /** By key, those with the oldest change first. */
    private readonly suspects = new Map<string, Suspect>();
    private readonly verdicts = new Map<string, SuspectVerdict>();
    /** The suspects that may be likelier causes than others; most have a single crash. */
    private explaining: Suspect[] = [];
    private convicted: ReadonlySet<Suspect> = new Set();
    private reviewedAt = -Infinity;

    private constructor(options: SuspectListOptions) {
        this.options = options;
    }

    /** Creates a list without suspects. */
    static create(options: SuspectListOptions): SuspectList {
        return new SuspectList(options);
    }

    /** Adds a crash. Returns whether it is new and counts. */
    add(crash: SuspectedCrash, now: number): boolean {
        const { fingerprint: key, endpointId, at, isDown = false, isCanary = false, isSudden = false } = crash;
        const suspect = this.suspects.get(key) ?? this.create(key);
        const known = suspect.crashes.get(endpointId);
        if (known !== undefined && (known.isCanary || !isCanary)) {
            return false;
        }
        if (known === undefined && !resolveCoincidences(suspect, crash)) {
            return false;
        }
        const isConfirmed = known?.isConfirmed ?? false;
        suspect.crashes.set(endpointId, { at: known?.at ?? at, isDown, isCanary, isConfirmed, isSudden });
        this.suspects.delete(key);
        this.evict(now);
        this.suspects.set(key, suspect);
        this.reviewedAt = -Infinity;
        return known === undefined;
    }

    /** Removes a suspect. */
    delete(key: string): void {
        if (this.suspects.delete(key)) {
            this.reviewedAt = -Infinity;
        }
    }

    /** Removes the crashes of a suspect up to a time. Returns whether there were any. */
    clearUntil(key: string, until: number): boolean {
        const crashes = this.suspects.get(key)?.crashes;
        if (crashes === undefined) {
            return false;
        }
        const { size } = crashes;
        for (const [endpointId, { at }] of crashes) {
            if (at <= until) {
                crashes.delete(endpointId);
            }
        }
        if (crashes.size === 0) {
            this.suspects.delete(key);
        }
        this.reviewedAt = crashes.size < size ? -Infinity : this.reviewedAt;
        return crashes.size < size;
    }

    /** Records that an endpoint has begun to answer a request with a part. */
    noteAnswered(key: string): void {
        const suspect = this.suspects.get(key);
        if (suspect !== undefined && !suspect.wasAnswered) {
            suspect.wasAnswered = true;
            this.reviewedAt = -Infinity;
        }
    }

    /** Records that an endpoint has restarted under the same id, so that it is no longer taken for having been alive all the time. */
    confirm(endpointId: string): void {
        for (const { crashes } of this.suspects.values()) {
            const crash = crashes.get(endpointId);
            if (crash !== undefined) {
                crash.isConfirmed = true;
            }
        }
    }

    /** Gets a suspect; undefined if there are no crashes under it. */
    get(key: string): Suspect | undefined {
        return this.suspects.get(key);
    }

    /** Gets all suspects, those of which it is surest that they crash endpoints first, and of equal ones those with the most crashes. */
    listBySuspicion(now: number): Suspect[] {
        this.review(now);
        return [...this.suspects.values()]
            .map(suspect => ({ suspect, rank: this.getRank(suspect.key, now) }))
            .sort((left, right) => right.rank - left.rank || right.suspect.crashes.size - left.suspect.crashes.size)
            .map(({ suspect }) => suspect);
    }

    /** Gets the verdict on a suspect. */
    judge(key: string, now: number): SuspectVerdict {
        const suspect = this.suspects.get(key);
        if (suspect === undefined) {
            return SuspectVerdict.Free;
        }
        this.review(now);
        const known = this.verdicts.get(key);
        if (known !== undefined) {
            return known;
        }
        const verdict = judgeSuspect(suspect, this.explaining, now, this.convicted);
        this.verdicts.set(key, verdict);
        return verdict;
    }

    private getRank(key: string, now: number): number {
        return verdictRanks[this.judge(key, now)];
    }

    private create(key: string): Suspect {
        const isPart = isPartKey(key);
        return {
            key,
            isPart,
            wasAnswered: isPart && this.options.wasAnswered(key),
            crashes: new Map(),
            coincidences: new Map(),
        };
    }

    /** Forgets suspects if there are too many: those that are free first, and of equal ones those that changed the longest ago. */
    private evict(now: number): void {
        if (this.suspects.size < maximumSuspects) {
            return;
        }
        this.reviewedAt = -Infinity;
        const ranked = [...this.suspects.keys()].map(key => ({ key, rank: this.getRank(key, now) }));
        ranked.sort((left, right) => left.rank - right.rank);
        for (const { key } of ranked.slice(0, evictedSuspects)) {
            this.suspects.delete(key);
        }
    }

    /** Removes crashes of endpoints that turned out to be alive, and crashes that happened long ago. */
    private review(now: number): void {
        if (now >= this.reviewedAt && now - this.reviewedAt < reviewMilliseconds) {
            return;
        }
        this.reviewedAt = now;
        this.verdicts.clear();
        const candidates: Suspect[] = [];
        for (const suspect of this.suspects.values()) {
            for (const [endpointId, crash] of suspect.crashes) {
                if (this.isStale(endpointId, crash, now)) {
                    suspect.crashes.delete(endpointId);
                }
            }
            if (suspect.crashes.size > 1 || hasCanary(suspect)) {
                candidates.push(suspect);
            }
        }
        this.convicted = findConvicted(candidates);
        this.explaining = candidates.filter(suspect => mayExplainOthers(suspect, this.convicted));
    }

    private isStale(endpointId: string, { at, isConfirmed }: SuspectCrash, now: number): boolean {
        return isCrashOutdated(at, isConfirmed ? -Infinity : this.options.getAliveTime(endpointId), now);
    }
}

function hasCanary({ crashes }: Suspect): boolean {
    for (const { isCanary } of crashes.values()) {
        if (isCanary) {
            return true;
        }
    }
    return false;
}
