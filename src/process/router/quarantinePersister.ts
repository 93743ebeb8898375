import type { RequestQuarantine } from "../../request/relay/quarantine/requestQuarantine.ts";
import { Err, Ok, type Result } from "../../result.ts";
import type { Clock, TimerHandle } from "../clock.ts";
import type { EventLog } from "../logging/eventLog.ts";
import { events } from "../logging/events.ts";
import type { PlatformError } from "../platform/platformError.ts";
import type { PlatformStore } from "../platform/platformStore.ts";
import { type QuarantineRecord, quarantineRecordSchema } from "./quarantineRecord.ts";

/** Options of a {@link QuarantinePersister}. */
interface QuarantinePersisterOptions {
    store: Pick<PlatformStore, "get" | "compareAndSwap"> & {
        /** Reads a key at a lower cost; the value may be some seconds old. */
        getStale: PlatformStore["get"];
    };
    /** Key of the record. */
    key: string;
    quarantine: RequestQuarantine;
    clock: Clock;
    log: EventLog;
}

/** Initial backoff after a call that failed or lost a race. It doubles up to the maximum. */
const minimumBackoffMilliseconds = 300;
const maximumBackoffMilliseconds = 5_000;
/** Nodes differ by up to this in when an endpoint crashed, since their clocks differ and a peer's message takes time. */
const endTimeToleranceMilliseconds = 5_000;

type StoredRun = QuarantineRecord["runs"][number];

/**
 * Saves the quarantined requests to the platform's store unless it has them, and loads them when the node starts. If all nodes end at
 * once, no peer is left that knows them, and a harmful request would end endpoints again.
 */
export class QuarantinePersister {
    private readonly options: QuarantinePersisterOptions;
    private timer: TimerHandle | undefined;
    private backoff = minimumBackoffMilliseconds;
    private isSynchronizing = false;
    private isReadDue = false;
    private isWriteDue = false;
    private isStopped = false;

    private constructor(options: QuarantinePersisterOptions) {
        this.options = options;
    }

    /** Creates an instance that does nothing before {@link start}. */
    static create(options: QuarantinePersisterOptions): QuarantinePersister {
        return new QuarantinePersister(options);
    }

    /** Starts to load what earlier nodes have saved. */
    start(): void {
        this.isReadDue = true;
        void this.run();
    }

    /** Schedules a write of the quarantined requests. */
    save(): void {
        this.isWriteDue = true;
        void this.run();
    }

    /** Handles that the store was restored from an older snapshot, which may lack quarantined requests. */
    handleStoreRestored(): void {
        const { quarantine, clock } = this.options;
        if (quarantine.getHeldCrashes(clock.getMonotonicTime()).length > 0) {
            this.save();
        }
    }

    /** Makes no further calls. */
    stop(): void {
        this.isStopped = true;
        this.timer?.cancel();
    }

    private async run(): Promise<void> {
        if (this.isSynchronizing || this.isStopped || this.timer !== undefined || !this.isReadDue && !this.isWriteDue) {
            return;
        }
        this.isSynchronizing = true;
        const isDone = await this.synchronize();
        this.isSynchronizing = false;
        if (isDone) {
            this.backoff = minimumBackoffMilliseconds;
            void this.run();
            return;
        }
        this.timer = this.options.clock.setTimer(this.backoff, () => {
            this.timer = undefined;
            void this.run();
        });
        this.backoff = Math.min(maximumBackoffMilliseconds, this.backoff * 2);
    }

    /** Applies the stored record and writes new entries. Returns whether nothing is left to do. */
    private async synchronize(): Promise<boolean> {
        const { store, key, log } = this.options;
        // At a start, when every node reads the record, a slightly old value is enough. A write needs the newest revision.
        const stored = this.isWriteDue ? await store.get(key) : await store.getStale(key);
        if (stored.err) {
            return this.logFailure(stored.val);
        }
        const text = stored.val?.value;
        const record = text === undefined ? Ok({ runs: [] }) : decode(text);
        if (record.err) {
            log.write(events.quarantineRecordInvalid, { key, reason: record.val });
        }
        else {
            this.applyRecord(record.val);
        }
        this.isReadDue = false;
        if (!this.isWriteDue) {
            return true;
        }
        this.isWriteDue = false;
        const ownRecord = this.createRecord();
        if (record.ok && holdsAll(record.val, ownRecord)) {
            return true;
        }
        const written = await store.compareAndSwap(key, stored.val?.revision ?? 0, JSON.stringify(ownRecord));
        const isWritten = written.ok && written.val.swapped;
        this.isWriteDue ||= !isWritten;
        return written.err ? this.logFailure(written.val) : isWritten;
    }

    private applyRecord({ runs }: QuarantineRecord): void {
        const { quarantine, clock } = this.options;
        const wallTime = clock.getWallTime();
        const now = clock.getMonotonicTime();
        for (const { fingerprint, endpointId, endedAt, isCanary = false } of runs) {
            const at = now - Math.max(0, wallTime - endedAt);
            quarantine.addPeerCrash({ fingerprint, endpointId, at, isCanary }, now);
        }
    }

    private createRecord(): QuarantineRecord {
        const { quarantine, clock } = this.options;
        const wallTime = clock.getWallTime();
        const now = clock.getMonotonicTime();
        const runs = quarantine.getHeldCrashes(now).map(({ fingerprint, endpointId, at, isCanary }) => ({
            fingerprint,
            endpointId,
            endedAt: Math.round(wallTime - (now - at)),
            isCanary,
        }));
        return { runs };
    }

    private logFailure({ kind, message }: PlatformError): false {
        this.options.log.write(events.quarantineStoreFailed, { kind, reason: message });
        return false;
    }
}

/** Checks if a record has all crashes of another one, none of which happened noticeably later by the other. */
function holdsAll({ runs }: QuarantineRecord, other: QuarantineRecord): boolean {
    const known = new Map(runs.map(run => [getRunKey(run), run]));
    return other.runs.every(run => {
        const stored = known.get(getRunKey(run));
        return stored !== undefined
            && stored.endedAt + endTimeToleranceMilliseconds >= run.endedAt
            && (stored.isCanary === true || run.isCanary !== true);
    });
}

function getRunKey({ fingerprint, endpointId }: StoredRun): string {
    return JSON.stringify([fingerprint, endpointId]);
}

function decode(text: string): Result<QuarantineRecord, string> {
    try {
        const record = quarantineRecordSchema.safeParse(JSON.parse(text));
        return record.success ? Ok(record.data) : Err(record.error.message);
    }
    catch (error) {
        return Err(String(error));
    }
}
