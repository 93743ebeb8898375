import type { Clock, TimerHandle } from "../process/clock.ts";
import type { EventLog } from "../process/logging/eventLog.ts";
import { events } from "../process/logging/events.ts";
import type { PlatformError } from "../process/platform/platformError.ts";
import type { PlatformStore, StoredValue, WatchHandle } from "../process/platform/platformStore.ts";
import type { RandomSource } from "../process/randomSource.ts";
import type { Result } from "../result.ts";
import { computeRetryDelay } from "./computeRetryDelay.ts";
import type { ConfigurationFollower } from "./configurationFollower.ts";
import { StoredConfiguration } from "./storedConfiguration.ts";
import { StoredConfigurationHandler } from "./storedConfigurationHandler.ts";

/** Interval of reads while the store holds a lower version than the one in force. */
const storeBehindReadIntervalMilliseconds = 1_000;

/** Options of a {@link ConfigurationWatcher}. */
interface ConfigurationWatcherOptions {
    store: PlatformStore;
    /** Receives every value that is read from the store. */
    follower: ConfigurationFollower;
    clock: Clock;
    random: RandomSource;
    eventLog: EventLog;
    /** Gets the mean interval between two reads, in milliseconds, to which jitter of +/- 25% is applied. */
    getCheckIntervalMilliseconds(): number;
    /**
     * Called while this node watches the key if consecutive reads return a lower version than the one in force, which means that the
     * store was restored from an older backup.
     * @param stored - Value in the store; undefined if the key does not exist.
     */
    onStoreBehind?(stored: StoredValue | undefined): void;
    /** Timeout of a read, in milliseconds. */
    readTimeoutMilliseconds?: number;
    /** Delay before the first retry, in milliseconds. */
    firstRetryMilliseconds?: number;
    /** Maximum delay between retries, in milliseconds. */
    maximumRetryMilliseconds?: number;
}

/**
 * Passes the configuration in the store to the follower. It reads the key at the start and then at long intervals. It watches the key
 * only if asked to, because each open watch counts as a call. Stale, repeated and missing watch events are harmless: the follower
 * ignores older versions, and the reads find what a watch missed.
 */
export class ConfigurationWatcher {
    private readonly options: ConfigurationWatcherOptions;
    private readonly valueHandler: StoredConfigurationHandler;
    private isRunning = false;
    private isWatching = false;
    private watch: { handle?: WatchHandle; } | undefined;
    private timer: TimerHandle | undefined;
    /** Identity of the read in flight. The response to any other read is late. */
    private currentRead: object | undefined;
    private readFailures = 0;
    private watchFailures = 0;
    /** Highest revision in the last read and the watch events since; 0 if the key does not exist. */
    private lastRevision = 0;
    private lastContactTime: number | undefined;

    private constructor(options: ConfigurationWatcherOptions) {
        this.options = options;
        this.valueHandler = StoredConfigurationHandler.create(options);
    }

    /**
     * Creates a watcher. It does nothing before {@link start}.
     * @param options - The store, the follower and the intervals.
     */
    static create(options: ConfigurationWatcherOptions): ConfigurationWatcher {
        return new ConfigurationWatcher(options);
    }

    /** Starts reading the store periodically. */
    start(): void {
        this.isRunning = true;
        this.read();
    }

    /** Stops the reads and the watch. Late responses are ignored. */
    stop(): void {
        this.isRunning = false;
        this.currentRead = undefined;
        this.timer?.cancel();
        this.closeWatch();
    }

    /**
     * Sets whether to watch the key. Only a few nodes do so.
     * @param isWatching - Whether to keep a watch open.
     */
    setWatching(isWatching: boolean): void {
        if (isWatching === this.isWatching) {
            return;
        }
        this.isWatching = isWatching;
        if (!isWatching) {
            this.closeWatch();
        }
        else if (this.isRunning && this.currentRead === undefined && this.readFailures === 0) {
            this.read();
        }
    }

    /** Gets the monotonic time of the store's last successful response, in milliseconds, or undefined if there was none. */
    getLastContact(): number | undefined {
        return this.lastContactTime;
    }

    private read(): void {
        const { store, readTimeoutMilliseconds = 5_000 } = this.options;
        const read = {};
        this.currentRead = read;
        this.setTimer(readTimeoutMilliseconds, () => this.onReadFailed("The read timed out."));
        void store.get(StoredConfiguration.key).then(result => {
            if (this.currentRead === read) {
                this.onReadAnswer(result);
            }
            else if (this.isRunning && result.ok && result.val !== undefined) {
                // A late response may still contain a newer version; the follower decides.
                this.valueHandler.handleEvent(result.val);
            }
        });
    }

    private onReadAnswer(result: Result<StoredValue | undefined, PlatformError>): void {
        if (result.err) {
            this.onReadFailed(result.val.message);
            return;
        }
        if (this.readFailures > 0) {
            this.options.eventLog.write(events.configurationReadRecovered, { failures: this.readFailures });
        }
        this.currentRead = undefined;
        this.readFailures = 0;
        const revision = result.val?.revision ?? 0;
        if (revision !== this.lastRevision) {
            // An open watch missed this value: its connection may be dead, or the store was restored to a lower revision.
            this.closeWatch();
        }
        else if (this.watch !== undefined) {
            this.watchFailures = 0;
        }
        this.lastRevision = revision;
        this.lastContactTime = this.options.clock.getMonotonicTime();
        this.setTimer(
            this.options.getCheckIntervalMilliseconds() * (0.75 + this.options.random() / 2),
            () => this.read(),
        );
        const isBehind = this.valueHandler.handleRead(result.val);
        if (isBehind && this.isWatching) {
            this.options.onStoreBehind?.(result.val);
        }
        if (this.valueHandler.isBehind()) {
            this.setTimer(storeBehindReadIntervalMilliseconds, () => this.read());
        }
        this.openWatch();
    }

    private onReadFailed(reason: string): void {
        this.currentRead = undefined;
        this.readFailures += 1;
        if (this.readFailures === 1) {
            this.options.eventLog.write(events.configurationReadFailed, { reason });
        }
        this.retry(this.readFailures);
    }

    private openWatch(): void {
        if (!this.isRunning || !this.isWatching || this.watch !== undefined) {
            return;
        }
        const watch: { handle?: WatchHandle; } = {};
        this.watch = watch;
        const handle = this.options.store.watch(StoredConfiguration.key, this.lastRevision + 1, {
            onValue: value => {
                if (this.watch === watch) {
                    this.lastContactTime = this.options.clock.getMonotonicTime();
                    this.lastRevision = Math.max(this.lastRevision, value.revision);
                    this.valueHandler.handleEvent(value);
                }
            },
            onClosed: reason => {
                if (this.watch === watch) {
                    this.onWatchClosed(reason);
                }
            },
        });
        if (this.watch === watch) {
            watch.handle = handle;
        }
        else {
            handle.close();
        }
    }

    private onWatchClosed(reason: PlatformError): void {
        this.watch = undefined;
        this.watchFailures += 1;
        this.options.eventLog.write(events.configurationWatchFailed, { reason: reason.message });
        if (this.currentRead === undefined && this.readFailures === 0) {
            this.retry(this.watchFailures);
        }
    }

    private closeWatch(): void {
        const watch = this.watch;
        this.watch = undefined;
        watch?.handle?.close();
    }

    private retry(failures: number): void {
        const { random, firstRetryMilliseconds = 200, maximumRetryMilliseconds = 10_000 } = this.options;
        const delays = { firstMilliseconds: firstRetryMilliseconds, maximumMilliseconds: maximumRetryMilliseconds };
        this.setTimer(computeRetryDelay(failures, delays, random), () => this.read());
    }

    private setTimer(delayMilliseconds: number, callback: () => void): void {
        this.timer?.cancel();
        this.timer = this.options.clock.setTimer(delayMilliseconds, callback);
    }
}
