import * as z from "zod";
import { Err, Ok, type Result } from "../../result.ts";
import type { PlatformStore } from "../platform/platformStore.ts";
import type { RecordedLoad } from "./recordedLoad.ts";

const recordSchema = z.array(z.object({
    endpoint: z.string(),
    range: z.object({ model: z.string(), start: z.int().nonnegative(), end: z.int().nonnegative() }),
    isSettled: z.boolean(),
}));

/**
 * Stores the loads in progress and those of the last minute in the platform's store. Loads are stored before they are
 * ordered, so that the next holder of the lease neither orders a range from a second engine nor exceeds the limits.
 * Writes use compare-and-swap, so a holder that has been superseded fails to write.
 */
export class LoadRecord {
    /** Key of the record in the platform's store. */
    static readonly key = "foxlead/orders/loads";
    private readonly store: PlatformStore;
    /** Last known revision; undefined if the record must be read before the next write. */
    private revision: number | undefined;

    private constructor(store: PlatformStore) {
        this.store = store;
    }

    /** Creates an instance that must be read before it is written. */
    static create(store: PlatformStore): LoadRecord {
        return new LoadRecord(store);
    }

    /** Checks if the revision is known, so that a write needs no read before it. */
    isRevisionKnown(): boolean {
        return this.revision !== undefined;
    }

    /** Reads the loads. A record that cannot be parsed counts as empty; at worst a range is loaded twice. */
    async read(): Promise<Result<RecordedLoad[], string>> {
        const stored = await this.store.get(LoadRecord.key);
        if (stored.err) {
            return Err(stored.val.message);
        }
        this.revision = stored.val?.revision ?? 0;
        return Ok(stored.val === undefined ? [] : parseLoads(stored.val.value));
    }

    /** Writes the loads unless the record has changed since it was read. After an error it must be read again. */
    async write(loads: readonly RecordedLoad[]): Promise<Result<undefined, string>> {
        const { revision } = this;
        this.revision = undefined;
        if (revision === undefined) {
            return Err("The revision of the load record is unknown. Read the record before writing it.");
        }
        const outcome = await this.store.compareAndSwap(LoadRecord.key, revision, JSON.stringify(loads));
        if (outcome.err) {
            return Err(outcome.val.message);
        }
        if (!outcome.val.swapped) {
            return Err("Another node has changed the load record. Read it again before writing it.");
        }
        this.revision = outcome.val.revision;
        return Ok(undefined);
    }
}

function parseLoads(value: string): RecordedLoad[] {
    try {
        return recordSchema.parse(JSON.parse(value));
    }
    catch {
        return [];
    }
}
