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

/** Settings of a {@link FencedLease}. */
export interface FencedLeaseOptions {
    store: Pick<PlatformStore, "get" | "compareAndSwap">;
    clock: Clock;
    random: RandomSource;
    log: EventLog;
    /** Key of the lease in the platform's service. */
    key: string;
    /** Name of this process as a holder. */
    holder: string;
    /** How long the lease lasts without a renewal, in milliseconds. */
    timeToLiveMilliseconds: number;
    /** Longest time that an order is on its way or being carried out, in milliseconds. */
    longestOrderMilliseconds: number;
}

/**
 * The right to give orders to an endpoint, held by one process at a time, with a number that grows with each
 * holder. Endpoints that check the number refuse an order of an earlier holder. For those that do not, the holder
 * checks its monotonic clock right before it sends, and a successor waits out the lease and the longest order;
 * what stays open is a pause between that check and the sending that outlasts the longest order, so such orders
 * state the wanted end state and their sender reads it back.
 *
 * Kept as a plain record that is written by compare-and-swap, not as a lease of the service: such a lease ends by
 * the service's clock, which a holder whose answers are lost cannot follow, an outage may lengthen it, its end
 * deletes the key with the fencing number, and it would cost a call more for each renewal.
 */
export class FencedLease {
    private readonly options: FencedLeaseOptions;
    private readonly state: LeaseState;
    private timer: TimerHandle | undefined;
    private isRunning = false;
    private isResting = false;
    private isStopped = false;
    private newestRelease: LeaseRelease | undefined;

    private constructor(options: FencedLeaseOptions) {
        this.options = options;
        this.state = LeaseState.create(options);
    }

    /** Creates a lease that is not sought before {@link start}. */
    static create(options: FencedLeaseOptions): FencedLease {
        return new FencedLease(options);
    }

    /** Seeks the lease, and renews it once it is held. Does nothing while it does so already. */
    start(): void {
        if (!this.isRunning) {
            this.isRunning = true;
            this.isResting = false;
            this.state.setSought(true);
            this.apply(this.state.wake(this.getTime()));
        }
    }

    /** Seeks the lease no longer, until {@link start}. Does nothing while it is held. */
    pause(): void {
        if (!this.isHeld()) {
            this.isRunning = false;
            this.timer?.cancel();
            this.timer = undefined;
        }
    }

    /**
     * Neither seeks nor renews the lease, until {@link start}: there is no order to give. One that is held is given up, so that
     * whoever has an order to give first takes it at once, with a higher number; left to end by its time, its successors would wait
     * for the 3.3 s in which the last holder may have renewed it unseen. The record is read once for the same reason.
     */
    rest(): void {
        this.isRunning = false;
        this.isResting = true;
        this.timer?.cancel();
        this.timer = undefined;
        this.state.setSought(false);
        if (this.isHeld()) {
            void this.giveUp();
            return;
        }
        this.apply(this.state.look(this.getTime()));
    }

    /** Stops for good and gives the lease up. No order may be under way. */
    async stop(): Promise<void> {
        this.isStopped = true;
        this.isRunning = false;
        this.timer?.cancel();
        await this.giveUp();
    }

    private async giveUp(): Promise<void> {
        const fencingNumber = this.getFencingNumber();
        const { call, logs } = this.state.release(this.getTime());
        this.writeLogs(logs);
        if (call?.kind !== "swap") {
            return;
        }
        const outcome = await this.options.store.compareAndSwap(this.options.key, call.expectedRevision, call.value);
        const revision = outcome.ok && outcome.val.swapped ? outcome.val.revision : undefined;
        if (revision !== undefined && fencingNumber !== undefined) {
            this.newestRelease = { revision, fencingNumber };
            this.state.noteOwnRelease(this.newestRelease, this.getTime());
        }
    }

    /** Gets the newest release that is known, this process' own or another's; undefined where there is none. */
    getNewestRelease(): LeaseRelease | undefined {
        return this.newestRelease;
    }

    /** Takes another's word that the lease was given up. */
    noteRelease(release: LeaseRelease): void {
        if (release.revision <= (this.newestRelease?.revision ?? 0)) {
            return;
        }
        this.newestRelease = release;
        if (this.isRunning || this.isResting) {
            this.apply(this.state.noteRelease(release, this.getTime()));
        }
    }

    /** Whether the lease is held now. */
    isHeld(): boolean {
        return this.getFencingNumber() !== undefined;
    }

    /** Gets the fencing number while the lease is held; undefined otherwise. */
    getFencingNumber(): number | undefined {
        return this.state.getFencingNumber(this.options.clock.getMonotonicTime());
    }

    /** As {@link LeaseState.getLastNumber}. */
    getLastNumber(): number | undefined {
        return this.state.getLastNumber();
    }

    /**
     * Sends an order if the lease is held at this moment.
     * @param action - Sends the order at once, with the fencing number; it may not wait before it does.
     */
    withFencing<T>(action: (fencingNumber: number) => T): Result<T, LeaseError> {
        const fencingNumber = this.getFencingNumber();
        if (fencingNumber === undefined) {
            return Err({
                kind: LeaseErrorKind.NotHeld,
                message: `The lease ${this.options.key} is not held, so the order was not sent.`
                    + " Leave it to the holder, or wait until this process holds the lease again.",
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

    /** Takes the result of a call, also where the lease is no longer sought: the state waits for it. */
    private finish(event: () => LeaseOutput): void {
        if (this.isStopped) {
            return;
        }
        const output = event();
        // A call that was under way at the pause may have brought the lease, which is then kept.
        this.isRunning ||= !this.isResting && this.isHeld();
        this.apply(output);
    }

    private writeLogs(logs: LeaseOutput["logs"]): void {
        for (const { event, fields } of logs) {
            this.options.log.write(event, { lease: this.options.key, ...fields });
        }
    }
}
