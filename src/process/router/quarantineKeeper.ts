import type { RequestQuarantine } from "../../request/relay/quarantine/requestQuarantine.ts";
import { Err, Ok, type Result } from "../../result.ts";
import type { Clock, TimerHandle } from "../clock.ts";
import type { EventLog } from "../logging/eventLog.ts";
import { events } from "../logging/events.ts";
import type { PlatformError } from "../platform/platformError.ts";
import type { PlatformStore } from "../platform/platformStore.ts";
import { type QuarantineRecord, quarantineRecordSchema } from "./quarantineRecord.ts";

/** Options of a {@link QuarantineKeeper}. */
interface QuarantineKeeperOptions {
    store: Pick<PlatformStore, "get" | "compareAndSwap"> & {
        /** Reads one key as it stood some seconds ago or later, which is cheaper. */
        getStale: PlatformStore["get"];
    };
    /** Key of the record. */
    key: string;
    quarantine: RequestQuarantine;
    clock: Clock;
    log: EventLog;
}

/** After a call that failed or lost a race, at first; it doubles up to the longest. */
const shortestPauseMilliseconds = 300;
const longestPauseMilliseconds = 5_000;

/**
 * Keeps the requests that are held back in the platform's store, and reads them when the node starts. Where all nodes end at
 * once, no peer is left that remembers, and a harmful request would end endpoints anew.
 */
export class QuarantineKeeper {
    private readonly options: QuarantineKeeperOptions;
    private timer: TimerHandle | undefined;
    private pause = shortestPauseMilliseconds;
    private isBusy = false;
    private isReadDue = false;
    private isWriteDue = false;
    private isStopped = false;

    private constructor(options: QuarantineKeeperOptions) {
        this.options = options;
    }

    /** Creates a keeper that does nothing before {@link start}. */
    static create(options: QuarantineKeeperOptions): QuarantineKeeper {
        return new QuarantineKeeper(options);
    }

    /** Reads what the nodes before have kept. */
    start(): void {
        this.isReadDue = true;
        void this.work();
    }

    /** Writes what is held back, soon. */
    save(): void {
        this.isWriteDue = true;
        void this.work();
    }

    /** Makes no further calls. */
    stop(): void {
        this.isStopped = true;
        this.timer?.cancel();
    }

    private async work(): Promise<void> {
        if (this.isBusy || this.isStopped || this.timer !== undefined || !this.isReadDue && !this.isWriteDue) {
            return;
        }
        this.isBusy = true;
        const isDone = await this.synchronize();
        this.isBusy = false;
        if (isDone) {
            this.pause = shortestPauseMilliseconds;
            void this.work();
            return;
        }
        this.timer = this.options.clock.setTimer(this.pause, () => {
            this.timer = undefined;
            void this.work();
        });
        this.pause = Math.min(longestPauseMilliseconds, this.pause * 2);
    }

    /** Takes over what is stored and writes what is new. Returns whether nothing is left to do. */
    private async synchronize(): Promise<boolean> {
        const { store, key, log } = this.options;
        // What was kept long before is enough for a start, and every node reads it then. A write must be of the newest.
        const stored = this.isWriteDue ? await store.get(key) : await store.getStale(key);
        if (stored.err) {
            return this.logFailure(stored.val);
        }
        const text = stored.val?.value;
        const record = text === undefined ? Ok({ runs: [] }) : decode(text);
        if (record.err) {
            log.write(events.quarantineRecordBroken, { key, reason: record.val });
        }
        else {
            this.take(record.val);
        }
        this.isReadDue = false;
        if (!this.isWriteDue) {
            return true;
        }
        this.isWriteDue = false;
        const written = await store.compareAndSwap(key, stored.val?.revision ?? 0, JSON.stringify(this.createRecord()));
        const isWritten = written.ok && written.val.swapped;
        this.isWriteDue ||= !isWritten;
        return written.err ? this.logFailure(written.val) : isWritten;
    }

    private take({ runs }: QuarantineRecord): void {
        const { quarantine, clock } = this.options;
        const wallTime = clock.getWallTime();
        const now = clock.getMonotonicTime();
        for (const { fingerprint, endpointId, endedAt } of runs) {
            quarantine.takeRun({ fingerprint, endpointId, at: now - Math.max(0, wallTime - endedAt) });
        }
    }

    private createRecord(): QuarantineRecord {
        const { quarantine, clock } = this.options;
        const wallTime = clock.getWallTime();
        const now = clock.getMonotonicTime();
        const runs = quarantine.getHeldRuns(now).map(({ fingerprint, endpointId, at }) => ({
            fingerprint,
            endpointId,
            endedAt: Math.round(wallTime - (now - at)),
        }));
        return { runs };
    }

    private logFailure({ kind, message }: PlatformError): false {
        this.options.log.write(events.quarantineNotKept, { kind, reason: message });
        return false;
    }
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
