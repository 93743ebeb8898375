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
    /** Whether the store has answered the last cheap call. After a failure, the follower makes no call before that. */
    isStoreAnswering(): boolean;
    /** Makes the cheapest call to the store; returns false if it is not answered soon. */
    callStore(): Promise<boolean>;
    clock: Clock;
    random: RandomSource;
    log: EventLog;
}

/**
 * Maximum time that one call waits for changes. Each call is billed, but an unresponsive connection is only detected when its
 * call ends; until then, changes come from peers.
 */
const waitTimeoutMilliseconds = 15_000;
/**
 * Minimum delay of the next call after changes, which batches changes that occur together into one call. Otherwise the wait of
 * each node would return for every change. The delay is far below the seconds within which a change must be in force.
 */
const minimumBatchDelayMilliseconds = 180;
/**
 * After more than this number of consecutive calls with changes, for example when hundreds of endpoints start and load, the delay
 * grows up to the maximum. A fault causes only a few changes, which nodes should get immediately.
 */
const callsBeforeDelayGrowth = 5;
const maximumBatchDelayMilliseconds = 600;
const batchDelayGrowthFactor = 1.5;
/** Base of the backoff after failed calls. It doubles with each failure up to the maximum. */
const baseBackoffMilliseconds = 100;
const maximumBackoffMilliseconds = 800;
/** Time after which a wait in progress is checked by a cheap call. */
const waitCheckMilliseconds = 500;
/** If a peer is ahead for longer than this, this node's own wait is assumed to be unresponsive. */
const maximumLagMilliseconds = 1_000;

/** Reasons for aborting a wait. */
const AbortReason = {
    /** The store has probably lost the call. */
    Lost: "The store does not answer.",
    /** A peer has changes that this node's wait should have returned. */
    BehindPeer: "A peer is ahead.",
    /** This node leaves the section to updates from peers. */
    Inactive: "The section is left to peers.",
} as const;

/** Keeps a section up to date with the store: reads all records once, then waits for changes. */
export class RecordFollower {
    private readonly options: RecordFollowerOptions;
    private readonly stopping = new AbortController();
    private wait = new AbortController();
    private isFullReadDue = true;
    private failures = 0;
    private nextCallDelay = 0;
    /** Calls in a row that brought changes. */
    private callsWithChanges = 0;
    private lastFailureAt = -Infinity;
    private isActive = true;
    private onActive: (() => void) | undefined;
    private behindSince: number | undefined;
    private confirmedAt = -Infinity;

    private constructor(options: RecordFollowerOptions) {
        this.options = options;
    }

    /** Creates a follower, which does nothing before {@link start}. */
    static create(options: RecordFollowerOptions): RecordFollower {
        return new RecordFollower(options);
    }

    /** Gets the name of the section. */
    getSectionName(): string {
        return this.options.section.name;
    }

    /** Gets the revision up to which the section has all changes; 0 if it was never read. */
    getFrontier(): number {
        return this.options.section.getFrontier();
    }

    /** Starts to follow the store, until {@link stop}. */
    start(): void {
        void this.run();
    }

    /** Stops following and aborts calls in flight. */
    stop(): void {
        this.stopping.abort();
        this.wait.abort();
        this.onActive?.();
    }

    /** Sets whether to call the store or to leave the section to updates from peers. */
    setActive(isActive: boolean): void {
        if (isActive === this.isActive) {
            return;
        }
        this.isActive = isActive;
        if (isActive) {
            this.onActive?.();
            return;
        }
        // Earlier failures say nothing about the current state of the store.
        this.failures = 0;
        this.wait.abort(AbortReason.Inactive);
    }

    /** Checks if the section has been read at least once, from the store or a peer. */
    hasRecords(): boolean {
        return this.options.section.getFrontier() > 0;
    }

    /** Checks if the follower is active and has missed no change, as far as the answers of the store show. */
    isCurrent(): boolean {
        return this.isActive && !this.isFullReadDue && this.failures === 0;
    }

    /** Checks if the last call was answered. */
    isStoreReachable(): boolean {
        return this.failures === 0;
    }

    /** Gets the monotonic time in milliseconds at which the last answered call was sent. The section has all changes until then. */
    getConfirmedTime(): number {
        return this.confirmedAt;
    }

    /** Gets the monotonic time of the last failed call, in milliseconds. */
    getLastFailure(): number {
        return this.lastFailureAt;
    }

    /** Handles the frontier of a peer. A wait that stays behind it is aborted and replaced by a new one. */
    handlePeerFrontier(frontier: number): void {
        const { section, clock } = this.options;
        if (frontier <= section.getFrontier()) {
            this.behindSince = undefined;
            return;
        }
        const now = clock.getMonotonicTime();
        this.behindSince ??= now;
        if (now - this.behindSince > maximumLagMilliseconds) {
            this.behindSince = undefined;
            this.wait.abort(AbortReason.BehindPeer);
        }
    }

    private async run(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            await this.waitUntilActive();
            if (this.failures > 0 && !this.options.isStoreAnswering()) {
                await this.sleep(this.getBackoff());
                continue;
            }
            const isAnswered = this.isFullReadDue ? await this.readAll() : await this.waitForChanges();
            if (!this.stopping.signal.aborted) {
                await this.sleep(isAnswered ? this.nextCallDelay : this.getBackoff());
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
        const { store, prefix, section, clock } = this.options;
        const sentAt = clock.getMonotonicTime();
        const listing = await store.readAll(prefix);
        if (listing.err) {
            this.recordFailure(listing.val);
            return false;
        }
        this.recordSuccess();
        this.confirmedAt = sentAt;
        this.isFullReadDue = false;
        // After this delay, a review has decided whether this node should wait for changes at all.
        this.nextCallDelay = minimumBatchDelayMilliseconds * 2;
        section.applyListing(listing.val.records, listing.val.revision, "store");
        return true;
    }

    private async waitForChanges(): Promise<boolean> {
        const { store, prefix, section, log, clock } = this.options;
        const wait = new AbortController();
        this.wait = wait;
        const after = section.getFrontier();
        const sentAt = clock.getMonotonicTime();
        const check = clock.setTimer(waitCheckMilliseconds, () => void this.checkWait(wait));
        const changes = await store.waitForChanges(prefix, after, waitTimeoutMilliseconds, wait.signal);
        check.cancel();
        if (changes.err) {
            if (wait.signal.aborted) {
                this.logAbort(wait, sentAt);
            }
            if (wait.signal.aborted && wait.signal.reason !== AbortReason.Lost) {
                this.nextCallDelay = 0;
                return true;
            }
            this.recordFailure(changes.val);
            return false;
        }
        this.recordSuccess();
        if (changes.val.isHistoryLost) {
            log.write(events.storeHistoryLost, { section: section.name, after });
            this.isFullReadDue = true;
            return true;
        }
        this.confirmedAt = sentAt;
        section.applyChanges(changes.val.records, changes.val.revision, "store");
        this.callsWithChanges = changes.val.records.length > 0 ? this.callsWithChanges + 1 : 0;
        this.nextCallDelay = this.callsWithChanges > 0 ? this.getBatchDelay() : 0;
        return true;
    }

    /**
     * Aborts a wait if the store does not answer a cheap call. The store may have lost the waiting call and would never answer
     * it, even after it recovers, so the node would get no changes until the wait times out.
     */
    private async checkWait(wait: AbortController): Promise<void> {
        const isAnswered = await this.options.callStore();
        if (!isAnswered) {
            wait.abort(AbortReason.Lost);
        }
    }

    private logAbort({ signal }: AbortController, sentAt: number): void {
        const { section, log, clock } = this.options;
        if (this.stopping.signal.aborted || signal.reason === AbortReason.Inactive) {
            return;
        }
        log.write(events.storeWaitAborted, {
            section: section.name,
            reason: String(signal.reason),
            waitedMilliseconds: Math.round(clock.getMonotonicTime() - sentAt),
            after: section.getFrontier(),
        });
    }

    private getBatchDelay(): number {
        if (this.callsWithChanges <= callsBeforeDelayGrowth) {
            return minimumBatchDelayMilliseconds;
        }
        return Math.min(this.nextCallDelay * batchDelayGrowthFactor, maximumBatchDelayMilliseconds);
    }

    private recordSuccess(): void {
        if (this.failures > 0) {
            const { log, section } = this.options;
            log.write(events.storeReachable, { section: section.name, failures: this.failures });
        }
        this.failures = 0;
    }

    private recordFailure(error: PlatformError): void {
        const { log, section, clock } = this.options;
        if (this.failures === 0) {
            log.write(events.storeUnreachable, { section: section.name, reason: error.message });
        }
        this.failures += 1;
        this.lastFailureAt = clock.getMonotonicTime();
    }

    private getBackoff(): number {
        const doubled = baseBackoffMilliseconds * 2 ** Math.min(this.failures, 10);
        return Math.min(doubled, maximumBackoffMilliseconds) * (0.5 + this.options.random() / 2);
    }

    private sleep(milliseconds: number): Promise<void> {
        return new Promise(resolve => {
            this.options.clock.setTimer(milliseconds, resolve);
        });
    }
}
