import { Err, Ok, type Result } from "../../result.ts";
import type { Clock, TimerHandle } from "../clock.ts";
import type { EventTime } from "../eventTime.ts";
import type { EventLog } from "../logging/eventLog.ts";
import type { PlatformStore } from "../platform/platformStore.ts";
import type { RandomSource } from "../randomSource.ts";
import { type LeaseError, LeaseErrorKind } from "./leaseError.ts";
import type { LeaseOutput } from "./leaseOutput.ts";
import type { LeaseRelease } from "./leaseRelease.ts";
import { LeaseState } from "./leaseState.ts";

/** Options of a {@link FencedLease}. */
export interface FencedLeaseOptions {
    store: Pick<PlatformStore, "get" | "compareAndSwap">;
    clock: Clock;
    random: RandomSource;
    log: EventLog;
    /** Key of the lease in the platform's store. */
    key: string;
    /** Name of this process as the holder of the lease. */
    holder: string;
    /** Time to live of the lease without a renewal, in milliseconds. */
    timeToLiveMilliseconds: number;
    /** Maximum time from sending an order to its completion, in milliseconds. */
    longestOrderMilliseconds: number;
    /** Gets the era of the store, which rises each time that it is restored from an older snapshot; undefined if it is unknown. */
    getStoreEra?(): number | undefined;
    /** Called when the lease was acquired. */
    onAcquired?(): void;
}

/**
 * Lease for sending orders to endpoints. One process holds it at a time, with a fencing number that increases with each
 * holder. Endpoints that check the number refuse orders of earlier holders. For endpoints that do not, the holder checks its
 * monotonic clock immediately before sending, and a successor waits for the time to live plus the maximum order time. The
 * remaining gap is a pause between that check and the transmission that is longer than the maximum order time. Therefore orders to
 * such endpoints declare the desired state, and the sender reads it back.
 *
 * Stored as a plain record that is written by compare-and-swap, not as a lease of the platform's service. A service lease
 * expires by the service's clock, which a holder with lost responses cannot track; an outage may extend it; its expiry deletes
 * the key together with the fencing number; and each renewal would need an additional call.
 */
export class FencedLease {
    private readonly options: FencedLeaseOptions;
    private readonly state: LeaseState;
    private timer: TimerHandle | undefined;
    private isRunning = false;
    private isRelinquished = false;
    private isStopped = false;
    private newestRelease: LeaseRelease | undefined;

    private constructor(options: FencedLeaseOptions) {
        this.options = options;
        this.state = LeaseState.create(options);
    }

    /** Creates a lease, which is not acquired before {@link start}. */
    static create(options: FencedLeaseOptions): FencedLease {
        return new FencedLease(options);
    }

    /** Starts to acquire the lease, and to renew it while it is held. Does nothing if already started. */
    start(): void {
        if (!this.isRunning) {
            this.isRunning = true;
            this.isRelinquished = false;
            this.apply(this.state.resume(this.getTime()));
        }
    }

    /** Stops acquiring the lease until {@link start}. Does nothing while the lease is held. */
    pause(): void {
        if (!this.isHeld()) {
            this.isRunning = false;
            this.timer?.cancel();
            this.timer = undefined;
        }
    }

    /**
     * Releases the lease, and neither acquires nor renews it until {@link start}, because there are no orders to send. After the
     * release, the first process with an order can acquire the lease immediately, with a higher number. If the lease expired
     * instead, a successor would wait for the 3.3 s in which the last holder may have renewed it without the successor seeing it.
     * The record is read once for the same reason.
     */
    rest(): void {
        this.keep();
        if (this.isLastHolder()) {
            void this.release();
            return;
        }
        this.apply(this.state.readIfUnknown(this.getTime()));
    }

    /**
     * Keeps the lease without renewing it, because there may soon be orders to send. After it has expired, {@link start} acquires it
     * at once, unless another process has.
     */
    keep(): void {
        this.isRunning = false;
        this.isRelinquished = true;
        this.timer?.cancel();
        this.timer = undefined;
        this.state.suspend();
    }

    /**
     * Reads the record if this process isn't the last holder, without acquiring the lease. If the record is still the same when the lease
     * is acquired, the holder's time to live counts from this read.
     */
    refresh(): void {
        if (!this.isRunning && !this.isStopped && !this.isLastHolder()) {
            this.state.suspend();
            this.isRelinquished = true;
            this.apply(this.state.read(this.getTime()));
        }
    }

    /** Stops permanently and releases the lease. No order may be in flight. */
    async stop(): Promise<void> {
        this.isStopped = true;
        this.isRunning = false;
        this.timer?.cancel();
        await this.release();
    }

    private async release(): Promise<void> {
        const fencingNumber = this.getLastNumber();
        const { call, logs } = this.state.release();
        this.writeLogs(logs);
        if (call?.kind !== "swap") {
            return;
        }
        const outcome = await this.options.store.compareAndSwap(this.options.key, call.expectedRevision, call.value);
        const revision = outcome.ok && outcome.val.swapped ? outcome.val.revision : undefined;
        if (revision !== undefined && fencingNumber !== undefined) {
            this.newestRelease = { revision, fencingNumber };
            this.state.recordOwnRelease(this.newestRelease, this.getTime());
        }
    }

    /** Gets the newest known release, by this process or another one; undefined if there is none. */
    getNewestRelease(): LeaseRelease | undefined {
        return this.newestRelease;
    }

    /** Handles a notice that another process released the lease. */
    noteRelease(release: LeaseRelease): void {
        if (release.revision <= (this.newestRelease?.revision ?? 0)) {
            return;
        }
        this.newestRelease = release;
        if (this.isRunning || this.isRelinquished) {
            this.apply(this.state.noteRelease(release, this.getTime()));
        }
        else if (!this.isStopped) {
            // A holder that can't reach the store learns only from its peers that another process has held the lease since.
            this.state.observeRelease(release, this.getTime());
        }
    }

    /** Handles that the store was restored from an older snapshot: the lease is no longer held until it is acquired again. */
    handleStoreRestored(): void {
        if (!this.isStopped) {
            this.apply(this.state.wake(this.getTime()));
        }
    }

    /** Checks if this process holds the lease now. */
    isHeld(): boolean {
        return this.getFencingNumber() !== undefined;
    }

    /** See {@link LeaseState.isLastHolder}. */
    isLastHolder(): boolean {
        return this.state.isLastHolder();
    }

    /** Gets the fencing number if the lease is held; undefined otherwise. */
    getFencingNumber(): number | undefined {
        return this.state.getFencingNumber(this.options.clock.getMonotonicTime());
    }

    /** See {@link LeaseState.getLastNumber}. */
    getLastNumber(): number | undefined {
        return this.state.getLastNumber();
    }

    /**
     * Runs an action that sends an order, if the lease is held now.
     * @param action - Sends the order with the fencing number. It must send synchronously.
     */
    withFencing<T>(action: (fencingNumber: number) => T): Result<T, LeaseError> {
        const fencingNumber = this.getFencingNumber();
        if (fencingNumber === undefined) {
            return Err({
                kind: LeaseErrorKind.NotHeld,
                message: `The lease ${this.options.key} is not held, so the order was not sent.`
                    + " Leave the order to the holder, or wait until this process holds the lease again.",
            });
        }
        return Ok(action(fencingNumber));
    }

    private getTime(): EventTime {
        const { clock } = this.options;
        return { monotonic: clock.getMonotonicTime(), wall: clock.getWallTime() };
    }

    private apply(output: LeaseOutput): void {
        const { clock } = this.options;
        this.writeLogs(output.logs);
        this.timer?.cancel();
        this.timer = undefined;
        if (output.wakeAt !== undefined && this.isRunning) {
            const delay = Math.max(0, output.wakeAt - clock.getMonotonicTime());
            this.timer = clock.setTimer(delay, () => this.apply(this.state.wake(this.getTime())));
        }
        if (output.call !== undefined) {
            void this.run(output.call);
        }
    }

    private async run(call: NonNullable<LeaseOutput["call"]>): Promise<void> {
        const { store, key } = this.options;
        if (call.kind === "read") {
            const stored = await store.get(key);
            this.finish(() => this.state.finishRead(stored, this.getTime()));
            return;
        }
        const outcome = await store.compareAndSwap(key, call.expectedRevision, call.value);
        this.finish(() => this.state.finishSwap(outcome, this.getTime()));
    }

    /** Applies the result of a call, even after a pause, because the state waits for it. */
    private finish(event: () => LeaseOutput): void {
        if (this.isStopped) {
            return;
        }
        const earlierNumber = this.getFencingNumber();
        const output = event();
        // A call in flight at the time of a pause may have acquired the lease, which is then kept.
        this.isRunning ||= !this.isRelinquished && this.isHeld();
        this.apply(output);
        if (this.isHeld() && this.getFencingNumber() !== earlierNumber) {
            this.options.onAcquired?.();
        }
    }

    private writeLogs(logs: LeaseOutput["logs"]): void {
        for (const { event, fields } of logs) {
            this.options.log.write(event, { lease: this.options.key, ...fields });
        }
    }
}
