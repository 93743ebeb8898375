import { z } from "zod";
import { Err, Ok, type Result } from "../../result.ts";
import type { PlatformStore } from "../platform/platformStore.ts";
import type { RecordedLoad } from "./recordedLoad.ts";

const recordSchema = z.array(z.object({
    endpoint: z.string(),
    range: z.object({ model: z.string(), start: z.int().nonnegative(), end: z.int().nonnegative() }),
    isSettled: z.boolean(),
}));

/**
 * The loads under way and those of the last minute, in the platform's service. They are written down before they are
 * ordered, so that a successor neither orders a range a second time at another engine nor exceeds the budget. It is
 * written by compare-and-swap: a holder that was overtaken fails to write.
 */
export class LoadRecord {
    /** Key of the record. */
    static readonly key = "foxlead/orders/loads";
    private readonly store: PlatformStore;
    /** Undefined where it must be read. */
    private revision: number | undefined;

    private constructor(store: PlatformStore) {
        this.store = store;
    }

    /** Creates the record; it is read before it is written. */
    static create(store: PlatformStore): LoadRecord {
        return new LoadRecord(store);
    }

    /** Whether a write can be tried without a read. */
    isKnown(): boolean {
        return this.revision !== undefined;
    }

    /** Reads the loads. What cannot be parsed counts as empty: at worst a range is loaded twice. */
    async read(): Promise<Result<RecordedLoad[], string>> {
        const stored = await this.store.get(LoadRecord.key);
        if (stored.err) {
            return Err(stored.val.message);
        }
        this.revision = stored.val?.revision ?? 0;
        return Ok(stored.val === undefined ? [] : parseLoads(stored.val.value));
    }

    /** Writes the loads, if nobody else has since they were read. After an error it must be read again. */
    async write(loads: readonly RecordedLoad[]): Promise<Result<undefined, string>> {
        const { revision } = this;
        this.revision = undefined;
        if (revision === undefined) {
            return Err("The record of loads is not known. Read it first.");
        }
        const outcome = await this.store.compareAndSwap(LoadRecord.key, revision, JSON.stringify(loads));
        if (outcome.err) {
            return Err(outcome.val.message);
        }
        if (!outcome.val.swapped) {
            return Err("Another node has written the record of loads. Read it again.");
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
