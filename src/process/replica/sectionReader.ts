import type { Result } from "../../result.ts";
import { events } from "../logging/events.ts";
import { ProcessorAccount } from "../loop/processorAccount.ts";
import { ProcessorCause } from "../loop/processorCause.ts";
import type { PlatformError } from "../platform/platformError.ts";
import type { RecordChanges } from "./recordChanges.ts";
import type { RecordFollowerOptions } from "./recordFollowerOptions.ts";

type SectionReaderOptions = Pick<RecordFollowerOptions, "store" | "section" | "prefix" | "clock" | "log">;

const account = ProcessorAccount.ofProcess;

/**
 * Makes the calls to the store that read a section, and applies their answers to it. Knows up to when the section is proven to be
 * current, and whether the store answers.
 */
export class SectionReader {
    private readonly options: SectionReaderOptions;
    private needsFullRead = true;
    private confirmedAt = -Infinity;
    /** Number of calls that have failed in a row. */
    private failures = 0;
    private lastFailureAt = -Infinity;

    private constructor(options: SectionReaderOptions) {
        this.options = options;
    }

    /** Creates a reader of a section that was not read yet. */
    static create(options: SectionReaderOptions): SectionReader {
        return new SectionReader(options);
    }

    /** Checks if all records have to be read before a call for changes can prove anything. */
    isFullReadDue(): boolean {
        return this.needsFullRead;
    }

    /** Makes {@link readAll} due again. */
    requireFullRead(): void {
        this.needsFullRead = true;
    }

    /** Gets the monotonic time in milliseconds at which the last answered call was sent. The section has all changes until then. */
    getConfirmedTime(): number {
        return this.confirmedAt;
    }

    /** Gets the number of calls that have failed since the last answered one. */
    getFailures(): number {
        return this.failures;
    }

    /** Gets the monotonic time of the last failed call, in milliseconds. */
    getLastFailure(): number {
        return this.lastFailureAt;
    }

    /** Forgets failed calls that say nothing about the current state of the store. */
    clearFailures(): void {
        this.failures = 0;
    }

    /** Reads all records. Returns whether the store has answered. */
    async readAll(): Promise<boolean> {
        const { store, prefix, section, clock } = this.options;
        const sentAt = clock.getMonotonicTime();
        const listing = await store.readAll(prefix);
        if (listing.err) {
            this.recordFailure(listing.val);
            return false;
        }
        this.recordSuccess();
        this.confirmedAt = sentAt;
        this.needsFullRead = false;
        const { records, revision } = listing.val;
        account.runPart(ProcessorCause.Store, () => section.applyListing(records, revision, "store"));
        return true;
    }

    /** Requests the changes since the section's frontier, and applies them. A call without an answer is not recorded as failed. */
    async requestChanges(
        waitMilliseconds: number,
        signal: AbortSignal,
    ): Promise<Result<RecordChanges, PlatformError>> {
        const { store, prefix, section, log, clock } = this.options;
        const after = section.getFrontier();
        const sentAt = clock.getMonotonicTime();
        const changes = await store.waitForChanges(prefix, after, waitMilliseconds, signal);
        if (changes.err) {
            return changes;
        }
        this.recordSuccess();
        if (changes.val.isHistoryLost) {
            log.write(events.storeHistoryLost, { section: section.name, after });
            this.needsFullRead = true;
        }
        else {
            this.confirmedAt = sentAt;
            const { records, revision } = changes.val;
            account.runPart(ProcessorCause.Store, () => section.applyChanges(records, revision, "store"));
        }
        return changes;
    }

    /** Records a failed call. The first one after an answered one is logged. */
    recordFailure(error: PlatformError): void {
        const { log, section, clock } = this.options;
        if (this.failures === 0) {
            log.write(events.storeUnreachable, { section: section.name, reason: error.message });
        }
        this.failures += 1;
        this.lastFailureAt = clock.getMonotonicTime();
    }

    private recordSuccess(): void {
        if (this.failures > 0) {
            const { log, section } = this.options;
            log.write(events.storeReachable, { section: section.name, failures: this.failures });
        }
        this.failures = 0;
    }
}
