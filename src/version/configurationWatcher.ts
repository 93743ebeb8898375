import type { Clock, TimerHandle } from "../process/clock.ts";
import type { EventLog } from "../process/logging/eventLog.ts";
import { events } from "../process/logging/events.ts";
import type { PlatformError } from "../process/platform/platformError.ts";
import type { PlatformStore, StoredValue, WatchHandle } from "../process/platform/platformStore.ts";
import type { RandomSource } from "../process/randomSource.ts";
import type { Result } from "../result.ts";
import type { ConfigurationFollower } from "./configurationFollower.ts";
import { retryDelay } from "./retryDelay.ts";
import { StoredConfiguration } from "./storedConfiguration.ts";
import { StoredConfigurationIntake } from "./storedConfigurationIntake.ts";

/** A store that shows a lower version than the one in force is read again this soon, in milliseconds. */
const storeBehindReadMilliseconds = 1_000;

/** Options of a {@link ConfigurationWatcher}. */
interface ConfigurationWatcherOptions {
    store: PlatformStore;
    /** Takes every value that the store gives. */
    follower: ConfigurationFollower;
    clock: Clock;
    random: RandomSource;
    eventLog: EventLog;
    /** Gets the mean time between two reads of the version, in milliseconds, before jitter of a quarter to either side. */
    getCheckIntervalMilliseconds(): number;
    /**
     * Called where this node watches and the store shows a lower version than the one in force, read after read: it was
     * restored from an older copy.
     * @param stored - What the store holds; undefined where it holds nothing.
     */
    onStoreBehind?(stored: StoredValue | undefined): void;
    /** Time after which an unanswered read counts as failed, in milliseconds. */
    readTimeoutMilliseconds?: number;
    /** Delay before the first retry, in milliseconds. */
    firstRetryMilliseconds?: number;
    /** Longest delay between retries, in milliseconds. */
    maximumRetryMilliseconds?: number;
}

/**
 * Brings the store's configuration to the follower: it reads the key at start and then in long intervals. It
 * watches the key only while it is told to, since each waiting watch counts as a call. Stale, repeated and missing
 * watch events do no harm, because the follower goes only forward and the reads make up for what a watch misses.
 */
export class ConfigurationWatcher {
    private readonly options: ConfigurationWatcherOptions;
    private readonly intake: StoredConfigurationIntake;
    private isRunning = false;
    private isWatching = false;
    private watch: { handle?: WatchHandle; } | undefined;
    private timer: TimerHandle | undefined;
    /** Identity of the read under way; the answer of any other read is late. */
    private currentRead: object | undefined;
    private readFailures = 0;
    private watchFailures = 0;
    /** Highest revision that the last read and the watch events since have shown; 0 for an absent key. */
    private seenRevision = 0;
    private lastContact: number | undefined;

    private constructor(options: ConfigurationWatcherOptions) {
        this.options = options;
        this.intake = StoredConfigurationIntake.create(options);
    }

    /**
     * Creates a watcher that does nothing before {@link start}.
     * @param options - The store, the follower and the intervals.
     */
    static create(options: ConfigurationWatcherOptions): ConfigurationWatcher {
        return new ConfigurationWatcher(options);
    }

    /** Reads the store and goes on reading until stopped. */
    start(): void {
        this.isRunning = true;
        this.read();
    }

    /** Ends the reads and the watch; late answers are dropped. */
    stop(): void {
        this.isRunning = false;
        this.currentRead = undefined;
        this.timer?.cancel();
        this.closeWatch();
    }

    /**
     * Tells whether this node is one of the few that watch the key.
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

    /** Gets the monotonic time of the store's last successful answer in milliseconds, or undefined before the first. */
    getLastContact(): number | undefined {
        return this.lastContact;
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
                // A late answer may still hold a newer version; the follower decides.
                this.intake.takeEvent(result.val);
            }
        });
    }

    private onReadAnswer(result: Result<StoredValue | undefined, PlatformError>): void {
        if (result.err) {
            this.onReadFailed(result.val.message);
            return;
        }
        if (this.readFailures > 0) {
            this.options.eventLog.write(events.configurationStoreAnswers, { failures: this.readFailures });
        }
        this.currentRead = undefined;
        this.readFailures = 0;
        const revision = result.val?.revision ?? 0;
        if (revision !== this.seenRevision) {
            // An open watch has missed this value: it may have gone silent, or wait past a store that went back.
            this.closeWatch();
        }
        else if (this.watch !== undefined) {
            this.watchFailures = 0;
        }
        this.seenRevision = revision;
        this.lastContact = this.options.clock.getMonotonicTime();
        this.setTimer(
            this.options.getCheckIntervalMilliseconds() * (0.75 + this.options.random() / 2),
            () => this.read(),
        );
        const isBehind = this.intake.takeRead(result.val);
        if (isBehind && this.isWatching) {
            this.options.onStoreBehind?.(result.val);
        }
        if (this.intake.isBehind()) {
            this.setTimer(storeBehindReadMilliseconds, () => this.read());
        }
        this.openWatch();
    }

    private onReadFailed(reason: string): void {
        this.currentRead = undefined;
        this.readFailures += 1;
        if (this.readFailures === 1) {
            this.options.eventLog.write(events.configurationStoreSilent, { reason });
        }
        this.retry(this.readFailures);
    }

    private openWatch(): void {
        if (!this.isRunning || !this.isWatching || this.watch !== undefined) {
            return;
        }
        const watch: { handle?: WatchHandle; } = {};
        this.watch = watch;
        const handle = this.options.store.watch(StoredConfiguration.key, this.seenRevision + 1, {
            onValue: value => {
                if (this.watch === watch) {
                    this.lastContact = this.options.clock.getMonotonicTime();
                    this.seenRevision = Math.max(this.seenRevision, value.revision);
                    this.intake.takeEvent(value);
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
        this.options.eventLog.write(events.configurationWatchBroken, { reason: reason.message });
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
        this.setTimer(retryDelay(failures, delays, random), () => this.read());
    }

    private setTimer(delayMilliseconds: number, callback: () => void): void {
        this.timer?.cancel();
        this.timer = this.options.clock.setTimer(delayMilliseconds, callback);
    }
}
