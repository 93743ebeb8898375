import type { PlatformError } from "../../src/process/platform/platformError.ts";
import { PlatformErrorKind } from "../../src/process/platform/platformError.ts";
import type {
    PlatformStore,
    StoredPage,
    StoredValue,
    SwapOutcome,
    WatchHandle,
    WatchOptions,
} from "../../src/process/platform/platformStore.ts";
import { Err, Ok, type Result } from "../../src/result.ts";

/** Methods of the store whose calls are counted. */
export type StoreMethod = "get" | "list" | "compareAndSwap" | "grantLease" | "renewLease" | "revokeLease" | "watch";

interface Watch {
    key: string;
    options: WatchOptions;
}

interface Lease {
    timeToLiveMilliseconds: number;
    expiresAt: number;
    keys: Set<string>;
}

interface MemoryStoreOptions {
    /** Gets the time that expires leases; without it, leases expire only by {@link MemoryStore.expireLease}. */
    getTime?(): number;
    /** Runs before each call takes effect, so that a test can delay the call. */
    beforeCall?(method: StoreMethod, key: string | undefined): Promise<void> | void;
}

const notDone: PlatformError = { kind: PlatformErrorKind.NotDone, message: "The store is down. Try again later." };
const unknown: PlatformError = {
    kind: PlatformErrorKind.OutcomeUnknown,
    message: "The answer was lost. Read the key to see what happened.",
};

/** An in-memory platform store with fault injection. All keys share one revision counter. */
export class MemoryStore implements PlatformStore {
    private readonly options: MemoryStoreOptions;
    private values = new Map<string, StoredValue>();
    private revision = 0;
    private nextLease = 1;
    private isDown = false;
    private lostAnswers = 0;
    private lostRequests = 0;
    private readonly leases = new Map<string, Lease>();
    private readonly watches = new Set<Watch>();
    private readonly calls = new Map<StoreMethod, number>();

    private constructor(options: MemoryStoreOptions) {
        this.options = options;
    }

    /** Creates an empty store. */
    static create(options: MemoryStoreOptions = {}): MemoryStore {
        return new MemoryStore(options);
    }

    /** Gets the number of calls of one method or of all methods. Opening a watch counts as one call. */
    getCallCount(method?: StoreMethod): number {
        if (method !== undefined) {
            return this.calls.get(method) ?? 0;
        }
        return [...this.calls.values()].reduce((sum, count) => sum + count, 0);
    }

    /** Gets the number of open watches. */
    getWatchCount(): number {
        return this.watches.size;
    }

    /** Sets whether the store refuses all calls. Setting it to true also closes the watches. */
    setDown(isDown: boolean): void {
        this.isDown = isDown;
        if (isDown) {
            this.closeWatches();
        }
    }

    /** Makes the next calls of any method but `watch` take effect without an answer. */
    loseAnswers(count: number): void {
        this.lostAnswers = count;
    }

    /**
     * Makes the next calls of any method but `watch` have no effect. Callers get the same error as for a lost answer.
     */
    loseRequests(count: number): void {
        this.lostRequests = count;
    }

    /** Reads a value without faults and without counting a call. */
    peek(key: string): StoredValue | undefined {
        return this.values.get(key);
    }

    /** Writes a value without faults and without counting a call. */
    put(key: string, value: string): StoredValue {
        return this.write(key, value);
    }

    /** Copies all values for {@link restore}. */
    takeSnapshot(): ReadonlyMap<string, StoredValue> {
        return new Map(this.values);
    }

    /**
     * Restores an older copy of the values, as a service restored from a backup does. Revisions continue from the
     * current one.
     */
    restore(snapshot: ReadonlyMap<string, StoredValue>): void {
        this.values = new Map(snapshot);
    }

    /** Sends a value to the watches of its key without writing it, as a stale event. */
    emit(stored: StoredValue): void {
        for (const watch of [...this.watches]) {
            if (watch.key === stored.key) {
                watch.options.onValue(stored);
            }
        }
    }

    /** Closes all watches from the service's side. */
    closeWatches(): void {
        for (const watch of [...this.watches]) {
            this.watches.delete(watch);
            watch.options.onClosed(notDone);
        }
    }

    /** Makes all watches silent: they stay open for their holders but receive no more events. */
    silenceWatches(): void {
        this.watches.clear();
    }

    /** Expires a lease and deletes its keys. */
    expireLease(leaseId: string): void {
        for (const key of this.leases.get(leaseId)?.keys ?? []) {
            this.values.delete(key);
        }
        this.leases.delete(leaseId);
    }

    get(key: string): Promise<Result<StoredValue | undefined, PlatformError>> {
        return this.call("get", key, () => this.values.get(key));
    }

    list(prefix: string, fromKey: string | undefined, limit: number): Promise<Result<StoredPage, PlatformError>> {
        return this.call("list", prefix, () => {
            const keys = [...this.values.keys()].filter(key => key.startsWith(prefix) && key >= (fromKey ?? prefix));
            const values = keys.sort().flatMap(key => this.values.get(key) ?? []);
            return { values: values.slice(0, limit), nextKey: values[limit]?.key };
        });
    }

    compareAndSwap(
        key: string,
        expectedRevision: number,
        value: string,
        leaseId?: string,
    ): Promise<Result<SwapOutcome, PlatformError>> {
        return this.call("compareAndSwap", key, () => {
            const current = this.values.get(key);
            const lease = leaseId === undefined ? undefined : this.leases.get(leaseId);
            if ((current?.revision ?? 0) !== expectedRevision || (leaseId !== undefined && lease === undefined)) {
                return { swapped: false, current };
            }
            for (const other of this.leases.values()) {
                other.keys.delete(key);
            }
            lease?.keys.add(key);
            return { swapped: true, revision: this.write(key, value).revision };
        });
    }

    grantLease(timeToLiveMilliseconds: number): Promise<Result<string, PlatformError>> {
        return this.call("grantLease", undefined, () => {
            const leaseId = `lease-${this.nextLease++}`;
            const expiresAt = this.getTime() + timeToLiveMilliseconds;
            this.leases.set(leaseId, { timeToLiveMilliseconds, expiresAt, keys: new Set() });
            return leaseId;
        });
    }

    renewLease(leaseId: string): Promise<Result<boolean, PlatformError>> {
        return this.call("renewLease", undefined, () => {
            const lease = this.leases.get(leaseId);
            if (lease !== undefined) {
                lease.expiresAt = this.getTime() + lease.timeToLiveMilliseconds;
            }
            return lease !== undefined;
        });
    }

    revokeLease(leaseId: string): Promise<Result<void, PlatformError>> {
        return this.call("revokeLease", undefined, () => this.expireLease(leaseId));
    }

    watch(key: string, fromRevision: number, options: WatchOptions): WatchHandle {
        this.count("watch");
        const watch: Watch = { key, options };
        if (this.isDown) {
            queueMicrotask(() => options.onClosed(notDone));
            return { close: () => undefined };
        }
        this.watches.add(watch);
        const current = this.values.get(key);
        if (current !== undefined && current.revision >= fromRevision) {
            queueMicrotask(() => this.watches.has(watch) && options.onValue(current));
        }
        return { close: () => void this.watches.delete(watch) };
    }

    private async call<T>(
        method: StoreMethod,
        key: string | undefined,
        action: () => T,
    ): Promise<Result<T, PlatformError>> {
        this.count(method);
        await this.options.beforeCall?.(method, key);
        if (this.isDown) {
            return Err(notDone);
        }
        if (this.lostRequests > 0) {
            this.lostRequests -= 1;
            return Err(unknown);
        }
        this.expireLeases();
        const answer = action();
        if (this.lostAnswers > 0) {
            this.lostAnswers -= 1;
            return Err(unknown);
        }
        return Ok(answer);
    }

    private count(method: StoreMethod): void {
        this.calls.set(method, this.getCallCount(method) + 1);
    }

    private getTime(): number {
        return this.options.getTime?.() ?? 0;
    }

    private expireLeases(): void {
        for (const [leaseId, lease] of [...this.leases]) {
            if (this.getTime() > lease.expiresAt) {
                this.expireLease(leaseId);
            }
        }
    }

    private write(key: string, value: string): StoredValue {
        this.revision += 1;
        const stored = { key, value, revision: this.revision };
        this.values.set(key, stored);
        this.emit(stored);
        return stored;
    }
}
