import { LRUCache } from "lru-cache";

/** A part of prompts, and when an endpoint last began to answer a request with it. */
interface AnsweredPart {
    key: string;
    at: number;
}

/**
 * Minimum advance of a time that a peer tells. Each time is late by the way between the nodes, so that two nodes would otherwise
 * advance each other's times for ever, and bring back crashes from before an answer.
 */
const minimumAdvanceMilliseconds = 500;
/** A part is announced as answered for this long after it was suspected, which peers repeat as long as they suspect it. */
const announcementMilliseconds = 5_000;
const maximumParts = 4_096;
const maximumAnnounced = 100;

/** Knows when endpoints last began to answer requests with a part, here or for a peer. */
export class AnsweredParts {
    /** Monotonic times in milliseconds, by key. */
    private readonly answeredAt = new LRUCache<string, number>({ max: maximumParts });
    /** Monotonic times in milliseconds at which answered parts were last suspected, by key. */
    private readonly suspectedAt = new LRUCache<string, number>({ max: maximumAnnounced });

    private constructor() {}

    /** Creates an instance that knows of no answer. */
    static create(): AnsweredParts {
        return new AnsweredParts();
    }

    /** Gets the time of the last answer; undefined if there was none. */
    getTime(key: string): number | undefined {
        return this.answeredAt.get(key);
    }

    /** Checks if a crash that this node saw, or that a peer told of, happened before the last answer, so that the part did not cause it. */
    isBeforeAnswer(key: string, crashAt: number, isOfPeer: boolean): boolean {
        const latestAt = (this.answeredAt.get(key) ?? -Infinity) + (isOfPeer ? minimumAdvanceMilliseconds : 0);
        return crashAt <= latestAt;
    }

    /** Records an answer of this node. */
    add(key: string, at: number): void {
        this.answeredAt.set(key, Math.max(at, this.answeredAt.get(key) ?? -Infinity));
    }

    /** Records an answer that a peer told of. */
    addOfPeer(key: string, at: number): void {
        const known = this.answeredAt.get(key);
        if (known === undefined || at > known + minimumAdvanceMilliseconds) {
            this.answeredAt.set(key, at);
        }
    }

    /** Records that a part is suspected, so that peers learn of its answers. */
    noteSuspected(key: string, now: number): void {
        if (this.answeredAt.has(key)) {
            this.suspectedAt.set(key, now);
        }
    }

    /** Lists the answered parts that were suspected lately, for peers. */
    listSuspected(now: number): AnsweredPart[] {
        const parts: AnsweredPart[] = [];
        for (const [key, suspectedAt] of this.suspectedAt.entries()) {
            const at = this.answeredAt.get(key);
            if (at !== undefined && now - suspectedAt < announcementMilliseconds) {
                parts.push({ key, at });
            }
        }
        return parts;
    }
}
