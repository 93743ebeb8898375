import { type PlatformError, PlatformErrorKind } from "../../src/process/platform/platformError.ts";
import type { RecordChanges } from "../../src/process/replica/recordChanges.ts";
import type { RecordStore } from "../../src/process/replica/recordStore.ts";
import { Err, Ok, type Result } from "../../src/result.ts";

/** A fake store that counts its calls and whose behaviour a test controls. */
export class CountedStore implements RecordStore {
    /** Whether the store refuses all calls. */
    isDown = false;
    /** Whether new waits for changes never get an answer. */
    isSilent = false;
    /** Whether each wait returns a change at once; otherwise waits stay pending. */
    hasChanges = true;
    /** Number of requested listings. */
    reads = 0;
    /** Number of requested waits for changes. */
    waits = 0;
    /** Number of calls for changes that ask for an immediate answer. */
    confirmations = 0;
    /** Number of probe calls, counted by the test. */
    probes = 0;
    private revision = 1;
    /** Callbacks that end the pending waits. */
    private readonly pending = new Set<() => void>();

    /** Returns an empty listing. */
    async readAll() {
        this.reads += 1;
        return this.isDown ? this.fail() : Ok({ records: [], revision: this.revision });
    }

    /** Returns one change, or no change once the wait is ended. */
    async waitForChanges(
        _prefix: string,
        _afterRevision: number,
        waitMilliseconds: number,
        signal?: AbortSignal,
    ): Promise<Result<RecordChanges, PlatformError>> {
        const isImmediate = waitMilliseconds <= 1;
        this.waits += isImmediate ? 0 : 1;
        this.confirmations += isImmediate ? 1 : 0;
        if (this.isDown) {
            return this.fail();
        }
        if (isImmediate && !this.isSilent && !this.hasChanges) {
            return this.createChanges(0);
        }
        if (this.isSilent || !this.hasChanges) {
            const isUnanswered = this.isSilent;
            await new Promise<void>(resolve => {
                signal?.addEventListener("abort", () => resolve());
                if (!isUnanswered) {
                    this.pending.add(resolve);
                }
            });
            return signal?.aborted === true ? this.fail() : this.createChanges(0);
        }
        return this.createChanges(1);
    }

    /** Ends the pending waits without a change, except those that began while the store was silent. */
    endWaits(): void {
        for (const end of this.pending) {
            end();
        }
        this.pending.clear();
    }

    /** Loses the pending waits, which then never get an answer. */
    loseWaits(): void {
        this.pending.clear();
    }

    private createChanges(count: number): Result<RecordChanges, PlatformError> {
        this.revision += count;
        const records = count === 0 ? [] : [{ key: "k", revision: this.revision, text: "t" }];
        return Ok({ records, revision: this.revision, isHistoryLost: false });
    }

    private fail() {
        return Err({ kind: PlatformErrorKind.NotDone, message: "The store refused the call. Try again later." });
    }
}
