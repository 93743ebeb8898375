import { events } from "../logging/events.ts";
import { type PlatformError, PlatformErrorKind } from "../platform/platformError.ts";
import { CallPacer } from "./callPacer.ts";
import type { RecordFollowerOptions } from "./recordFollowerOptions.ts";
import { SectionReader } from "./sectionReader.ts";

/** Maximum time that one call waits for changes. Each call is billed, so that the wait is long. */
const waitTimeoutMilliseconds = 15_000;
/** Wait time of a call that is answered immediately, with or without changes. */
const immediateWaitMilliseconds = 1;
/** Time after which a cheap call checks whether the store answers, if it has not answered the call that confirms the section. */
const confirmationCheckMilliseconds = 600;
/** A wait that has not returned changes this long after another call did is assumed to be lost. */
const lostWaitMilliseconds = 200;
/** If a peer is ahead for longer than this, this node's own wait is assumed to be unresponsive. */
const maximumLagMilliseconds = 1_000;

/** Reasons for aborting a wait. */
const AbortReason = {
    /** The store has probably lost the call. */
    Lost: "The store does not answer.",
    /** Another call returned changes that this wait should have returned. */
    MissedChanges: "It did not return changes that another call returned.",
    /** A peer has changes that this node's wait should have returned. */
    BehindPeer: "A peer is ahead.",
    /** The store was restored from an older snapshot, so that all records are read again. */
    Restored: "The store was restored.",
    /** This node leaves the section to updates from peers. */
    Inactive: "The section is left to peers.",
} as const;

const unansweredError: PlatformError = {
    kind: PlatformErrorKind.NotDone,
    message: "The platform's store answers neither a call for changes nor a cheap one. Check that it is running.",
};

/** Keeps a section up to date with the store: reads all records once, then waits for changes. */
export class RecordFollower {
    private readonly options: RecordFollowerOptions;
    private readonly reader: SectionReader;
    private readonly pacer: CallPacer;
    private readonly stopping = new AbortController();
    /** The call that waits for changes, if there is one. */
    private wait: AbortController | undefined;
    /** The call that confirms that the section is current, if there is one. */
    private confirmation: AbortController | undefined;
    private isActive = true;
    private onActive: (() => void) | undefined;
    private behindSince: number | undefined;

    private constructor(options: RecordFollowerOptions) {
        this.options = options;
        this.reader = SectionReader.create(options);
        this.pacer = CallPacer.create(options.random);
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
        this.wait?.abort();
        this.confirmation?.abort();
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
        this.reader.clearFailures();
        this.wait?.abort(AbortReason.Inactive);
    }

    /** Handles that the store was restored from an older snapshot: all records are read again. */
    handleStoreRestored(): void {
        this.reader.requireFullRead();
        this.wait?.abort(AbortReason.Restored);
    }

    /** Checks if the section has been read at least once, from the store or a peer. */
    hasRecords(): boolean {
        return this.options.section.getFrontier() > 0;
    }

    /** Checks if all records have to be read before a call for changes can prove anything. */
    isFullReadDue(): boolean {
        return this.reader.isFullReadDue();
    }

    /** Checks if the last call was answered. */
    isStoreReachable(): boolean {
        return this.reader.getFailures() === 0;
    }

    /** Gets the monotonic time in milliseconds at which the last answered call was sent. The section has all changes until then. */
    getConfirmedTime(): number {
        return this.reader.getConfirmedTime();
    }

    /** Gets the monotonic time of the last failed call, in milliseconds. */
    getLastFailure(): number {
        return this.reader.getLastFailure();
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
            this.wait?.abort(AbortReason.BehindPeer);
        }
    }

    /**
     * Proves that the section is current, or finds changes that it lacks, by a call that is answered immediately. An inactive follower does
     * so too. A waiting call alone proves nothing before it ends: the store, or a connection that has stopped responding, may have lost it.
     */
    async confirm(): Promise<void> {
        const { clock } = this.options;
        const isStoreDown = !this.isStoreReachable() && this.wait === undefined;
        if (this.isFullReadDue() || this.confirmation !== undefined || isStoreDown) {
            return;
        }
        const wait = this.wait;
        const confirmation = new AbortController();
        this.confirmation = confirmation;
        const check = clock.setTimer(confirmationCheckMilliseconds, () => void this.checkStore(confirmation, wait));
        const changes = await this.reader.requestChanges(immediateWaitMilliseconds, confirmation.signal);
        check.cancel();
        this.confirmation = undefined;
        if (changes.err) {
            await this.checkStore(confirmation, wait);
        }
        else if (changes.val.isHistoryLost) {
            wait?.abort(AbortReason.MissedChanges);
        }
        else if (changes.val.records.length > 0) {
            this.options.onMissedChanges();
            clock.setTimer(lostWaitMilliseconds, () => wait?.abort(AbortReason.MissedChanges));
        }
    }

    private async run(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            await this.waitUntilActive();
            if (!this.isStoreReachable() && !this.options.isStoreAnswering()) {
                await this.sleep(this.pacer.getBackoff(this.reader.getFailures()));
                continue;
            }
            const isAnswered = this.isFullReadDue() ? await this.readAll() : await this.waitForChanges();
            if (!this.stopping.signal.aborted) {
                await this.sleep(isAnswered ? this.pacer.getDelay() : this.pacer.getBackoff(this.reader.getFailures()));
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
        const isAnswered = await this.reader.readAll();
        if (isAnswered) {
            this.pacer.noteListing();
        }
        return isAnswered;
    }

    private async waitForChanges(): Promise<boolean> {
        const { clock } = this.options;
        const wait = new AbortController();
        this.wait = wait;
        const sentAt = clock.getMonotonicTime();
        // After a failure, a call that is answered immediately shows without a delay that the store responds again.
        const waitMilliseconds = this.isStoreReachable() ? waitTimeoutMilliseconds : immediateWaitMilliseconds;
        const changes = await this.reader.requestChanges(waitMilliseconds, wait.signal);
        this.wait = undefined;
        if (changes.err) {
            return this.handleFailedWait(changes.val, wait, sentAt);
        }
        this.pacer.noteChanges(changes.val.records.length > 0);
        return true;
    }

    /** Handles a wait that has no answer. Returns whether to make the next call without a backoff. */
    private handleFailedWait(error: PlatformError, { signal }: AbortController, sentAt: number): boolean {
        const isReplaced = signal.aborted && signal.reason !== AbortReason.Lost;
        if (signal.aborted) {
            this.logAbort(signal, sentAt);
        }
        if (!isReplaced) {
            this.reader.recordFailure(error);
        }
        this.pacer.noteReplaced();
        return isReplaced;
    }

    /**
     * Aborts the calls in flight if the store does not answer a cheap call either. If it does, the answer to them may be long and on
     * its way over a slow link.
     */
    private async checkStore(confirmation: AbortController, wait: AbortController | undefined): Promise<void> {
        if (confirmation.signal.aborted || await this.options.callStore() || confirmation.signal.aborted) {
            return;
        }
        this.reader.recordFailure(unansweredError);
        confirmation.abort();
        wait?.abort(AbortReason.Lost);
    }

    private logAbort(signal: AbortSignal, sentAt: number): void {
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

    private sleep(milliseconds: number): Promise<void> {
        return new Promise(resolve => {
            this.options.clock.setTimer(milliseconds, resolve);
        });
    }
}
