import type { Clock } from "../clock.ts";
import type { EventLog } from "../logging/eventLog.ts";
import { events } from "../logging/events.ts";
import type { PlatformError } from "../platform/platformError.ts";
import type { RandomSource } from "../randomSource.ts";
import type { RecordSection } from "./recordSection.ts";
import type { RecordStore } from "./recordStore.ts";

/** Options of a {@link RecordFollower}. */
interface RecordFollowerOptions {
    store: RecordStore;
    section: RecordSection;
    /** Prefix of the section's keys. */
    prefix: string;
    /** Whether the store has answered a cheap call lately; after a failed call none is made before. */
    isStoreAnswering(): boolean;
    /** Makes the cheapest call to the store; false where it isn't answered soon. */
    callStore(): Promise<boolean>;
    clock: Clock;
    random: RandomSource;
    log: EventLog;
}

/**
 * One call waits for changes this long. Each call is paid for, and a connection that has gone silent is noticed only
 * when its call is over; meanwhile the peers tell of changes.
 */
const waitMilliseconds = 15_000;
/**
 * After changes the next call waits this long, so that changes that come together cost one call; each node's watch
 * otherwise returns for every one of them. Far below the seconds within which a change must be in force.
 */
const shortestGatherMilliseconds = 180;
/**
 * Where so many calls in a row bring changes, as when hundreds of endpoints start and load, the wait grows up to the longest. A fault
 * brings a few changes, which nodes should know at once.
 */
const callsBeforeGrowth = 5;
const longestGatherMilliseconds = 600;
const gatherGrowth = 1.5;
/** After a failed call, at first; it doubles up to the longest. */
const shortestPauseMilliseconds = 100;
const longestPauseMilliseconds = 800;
/** A wait that goes on for so long is checked by a cheap call. */
const checkMilliseconds = 500;
/** A peer that is ahead for so long shows that this node's own wait has gone silent. */
const behindMilliseconds = 1_000;

/** Why a wait was given up of which the store seems to know nothing. */
const swallowedReason = "The store does not answer.";

/** Follows a section of the store: reads it whole once, then waits for changes. */
export class RecordFollower {
    private readonly options: RecordFollowerOptions;
    private readonly stopping = new AbortController();
    private wait = new AbortController();
    private isReadDue = true;
    private failures = 0;
    private gatherDelay = 0;
    /** Calls in a row that brought changes. */
    private changingCalls = 0;
    private lastFailureAt = -Infinity;
    private isActive = true;
    private onActive: (() => void) | undefined;
    private behindSince: number | undefined;

    private constructor(options: RecordFollowerOptions) {
        this.options = options;
    }

    /** Creates a follower that does nothing before {@link start}. */
    static create(options: RecordFollowerOptions): RecordFollower {
        return new RecordFollower(options);
    }

    /** Gets the name of the section that it follows. */
    getSectionName(): string {
        return this.options.section.name;
    }

    /** Follows until {@link stop}. */
    start(): void {
        void this.run();
    }

    /** Ends the calls under way. */
    stop(): void {
        this.stopping.abort();
        this.wait.abort();
        this.onActive?.();
    }

    /** Follows the store itself from now on, or leaves that to the peers. */
    setActive(isActive: boolean): void {
        if (isActive === this.isActive) {
            return;
        }
        this.isActive = isActive;
        if (isActive) {
            this.onActive?.();
            return;
        }
        // What an inactive follower last saw of the store says nothing any more.
        this.failures = 0;
        this.wait.abort();
    }

    /** Whether anything of the section is known. */
    hasRecords(): boolean {
        return this.options.section.getFrontier() > 0;
    }

    /** Whether it follows the store now and has missed nothing, as far as the store answers. */
    isCurrent(): boolean {
        return this.isActive && !this.isReadDue && this.failures === 0;
    }

    /** Whether the last call was answered. */
    isInContact(): boolean {
        return this.failures === 0;
    }

    /** Gets the monotonic time of the last failed call, in milliseconds. */
    getLastFailure(): number {
        return this.lastFailureAt;
    }

    /** Notes how far a peer has followed; a wait that stays behind is given up for a new one. */
    notePeerFrontier(frontier: number): void {
        const { section, clock } = this.options;
        if (frontier <= section.getFrontier()) {
            this.behindSince = undefined;
            return;
        }
        const now = clock.getMonotonicTime();
        this.behindSince ??= now;
        if (now - this.behindSince > behindMilliseconds) {
            this.behindSince = undefined;
            this.wait.abort();
        }
    }

    private async run(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            await this.waitUntilActive();
            if (this.failures > 0 && !this.options.isStoreAnswering()) {
                await this.sleep(this.getPause());
                continue;
            }
            const isAnswered = this.isReadDue ? await this.readAll() : await this.waitForChanges();
            if (!this.stopping.signal.aborted) {
                await this.sleep(isAnswered ? this.gatherDelay : this.getPause());
            }
        }
    }

    private async waitUntilActive(): Promise<void> {
        if (!this.isActive) {
            await new Promise<void>(resolve => {
                this.onActive = resolve;
            });
        }
    }

    private async readAll(): Promise<boolean> {
        const { store, prefix, section } = this.options;
        const listing = await store.readAll(prefix);
        if (listing.err) {
            this.noteFailure(listing.val);
            return false;
        }
        this.noteAnswer();
        this.isReadDue = false;
        // By then it is reviewed whether this node should wait for changes at all.
        this.gatherDelay = shortestGatherMilliseconds * 2;
        section.applyListing(listing.val.records, listing.val.revision, "store");
        return true;
    }

    private async waitForChanges(): Promise<boolean> {
        const { store, prefix, section, log, clock } = this.options;
        const wait = new AbortController();
        this.wait = wait;
        const after = section.getFrontier();
        const check = clock.setTimer(checkMilliseconds, () => void this.checkWait(wait));
        const changes = await store.waitForChanges(prefix, after, waitMilliseconds, wait.signal);
        check.cancel();
        if (changes.err) {
            if (wait.signal.aborted && wait.signal.reason !== swallowedReason) {
                this.gatherDelay = 0;
                return true;
            }
            this.noteFailure(changes.val);
            return false;
        }
        this.noteAnswer();
        if (changes.val.isHistoryLost) {
            log.write(events.storeHistoryLost, { section: section.name, after });
            this.isReadDue = true;
            return true;
        }
        section.applyChanges(changes.val.records, changes.val.revision, "store");
        this.changingCalls = changes.val.records.length > 0 ? this.changingCalls + 1 : 0;
        this.gatherDelay = this.changingCalls > 0 ? this.getNextGather() : 0;
        return true;
    }

    /**
     * Gives a wait up where the store answers nothing: it may have swallowed the call, and would never answer it, also once it
     * is back. Nodes that wait so hear of no change until their waits run out.
     */
    private async checkWait(wait: AbortController): Promise<void> {
        const isAnswered = await this.options.callStore();
        if (!isAnswered) {
            wait.abort(swallowedReason);
        }
    }

    private getNextGather(): number {
        if (this.changingCalls <= callsBeforeGrowth) {
            return shortestGatherMilliseconds;
        }
        return Math.min(this.gatherDelay * gatherGrowth, longestGatherMilliseconds);
    }

    private noteAnswer(): void {
        if (this.failures > 0) {
            const { log, section } = this.options;
            log.write(events.storeRegained, { section: section.name, failures: this.failures });
        }
        this.failures = 0;
    }

    private noteFailure(error: PlatformError): void {
        const { log, section, clock } = this.options;
        if (this.failures === 0) {
            log.write(events.storeLost, { section: section.name, reason: error.message });
        }
        this.failures += 1;
        this.lastFailureAt = clock.getMonotonicTime();
    }

    private getPause(): number {
        const doubled = shortestPauseMilliseconds * 2 ** Math.min(this.failures, 10);
        return Math.min(doubled, longestPauseMilliseconds) * (0.5 + this.options.random() / 2);
    }

    private sleep(milliseconds: number): Promise<void> {
        return new Promise(resolve => {
            this.options.clock.setTimer(milliseconds, resolve);
        });
    }
}
