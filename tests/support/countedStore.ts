import { PlatformErrorKind } from "../../src/process/platform/platformError.ts";
import type { RecordStore } from "../../src/process/replica/recordStore.ts";
import { Err, Ok } from "../../src/result.ts";

/** A store whose answers a test sets, and that counts its calls. */
export class CountedStore implements RecordStore {
    /** Whether it refuses all calls. */
    isDown = false;
    /** Listings that were asked for. */
    reads = 0;
    /** Waits for changes that were asked for. */
    waits = 0;
    private revision = 1;

    /** Answers with an empty listing. */
    async readAll() {
        this.reads += 1;
        return this.isDown ? this.fail() : Ok({ records: [], revision: this.revision });
    }

    /** Answers at once with one change. */
    async waitForChanges() {
        this.waits += 1;
        if (this.isDown) {
            return this.fail();
        }
        this.revision += 1;
        const records = [{ key: "k", revision: this.revision, text: "t" }];
        return Ok({ records, revision: this.revision, isHistoryLost: false });
    }

    private fail() {
        return Err({ kind: PlatformErrorKind.NotDone, message: "The store refused the call. Try again later." });
    }
}
