import { type PlatformError, PlatformErrorKind } from "../../src/process/platform/platformError.ts";
import type { RecordChanges } from "../../src/process/replica/recordChanges.ts";
import type { RecordStore } from "../../src/process/replica/recordStore.ts";
import { Err, Ok, type Result } from "../../src/result.ts";

/** A store whose answers a test sets, and that counts its calls. */
export class CountedStore implements RecordStore {
    /** Whether it refuses all calls. */
    isDown = false;
    /** Whether it never answers the calls that come. */
    isSilent = false;
    /** Whether there is a change for each wait; else waits go on. */
    hasChanges = true;
    /** Listings that were asked for. */
    reads = 0;
    /** Waits for changes that were asked for. */
    waits = 0;
    /** Cheap calls that were made; a test counts them. */
    probes = 0;
    private revision = 1;
    /** Ends the waits that go on, by what they return. */
    private readonly pending = new Set<() => void>();

    /** Answers with an empty listing. */
    async readAll() {
        this.reads += 1;
        return this.isDown ? this.fail() : Ok({ records: [], revision: this.revision });
    }

    /** Answers with one change, or once the wait is ended. */
    async waitForChanges(
        _prefix: string,
        _afterRevision: number,
        _waitMilliseconds: number,
        signal?: AbortSignal,
    ): Promise<Result<RecordChanges, PlatformError>> {
        this.waits += 1;
        if (this.isDown) {
            return this.fail();
        }
        if (this.isSilent || !this.hasChanges) {
            const isLost = this.isSilent;
            await new Promise<void>(resolve => {
                signal?.addEventListener("abort", () => resolve());
                if (!isLost) {
                    this.pending.add(resolve);
                }
            });
            return signal?.aborted === true ? this.fail() : this.createChanges(0);
        }
        return this.createChanges(1);
    }

    /** Ends the waits that go on, without a change, but for those that came while it was silent. */
    endWaits(): void {
        for (const end of this.pending) {
            end();
        }
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
