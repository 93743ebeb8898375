import type { Result } from "../../result.ts";
import type { EventTime } from "../eventTime.ts";
import { events } from "../logging/events.ts";
import type { LogEvent } from "../logging/logEvent.ts";
import { type PlatformError, PlatformErrorKind } from "../platform/platformError.ts";
import type { StoredValue, SwapOutcome } from "../platform/platformStore.ts";
import type { RandomSource } from "../randomSource.ts";
import { EraRevision } from "../replica/eraRevision.ts";
import { getSuccessorWait } from "./getSuccessorWait.ts";
import { LeaseEra } from "./leaseEra.ts";
import type { LeaseOutput } from "./leaseOutput.ts";
import type { LeaseRecord } from "./leaseRecord.ts";
import type { LeaseRelease } from "./leaseRelease.ts";
import type { LeaseWrite } from "./leaseWrite.ts";
import { ObservedLease } from "./observedLease.ts";
import { parseLeaseRecord } from "./parseLeaseRecord.ts";

/** Options of a {@link LeaseState}. */
interface LeaseStateOptions {
    random: RandomSource;
    /** Name of this process as the holder of the lease. */
    holder: string;
    /** Time to live of the lease without a renewal, in milliseconds. */
    timeToLiveMilliseconds: number;
    /** Maximum time from sending an order to its completion, in milliseconds. */
    longestOrderMilliseconds: number;
    /** Gets the era of the store, which rises each time that it is restored from an older snapshot; undefined if it is unknown. */
    getStoreEra?(): number | undefined;
}

const renewalsPerTimeToLive = 3;
const retriesPerTimeToLive = 10;

/**
 * State machine of one lease, without I/O and clock reads. The holder counts the time to live from before it sent the write.
 * A successor counts it from after it saw the write, and additionally waits for the maximum order time. Therefore the lease
 * ends at the holder first, and the clocks only need to run at about the same speed.
 */
export class LeaseState {
    private readonly options: LeaseStateOptions;
    private readonly observed: ObservedLease;
    private readonly era: LeaseEra;
    /** The own write by which the lease is held. */
    private held: LeaseWrite | undefined;
    private sent: LeaseWrite | undefined;
    /** Monotonic time in milliseconds before which the lease is not acquired, since a holder of an earlier era may still act. */
    private blockedUntil = -Infinity;
    private isCalling = false;
    private isWanted = true;
    /** Revision of the record that this process has tried to release. */
    private releaseTriedAt: number | undefined;
    /** Fencing number of the lease that this process released last. */
    private releasedFencingNumber = 0;
    private retryAt = -Infinity;
    private writes = 0;
    private logs: LeaseOutput["logs"] = [];

    private constructor(options: LeaseStateOptions) {
        this.options = options;
        const { random, timeToLiveMilliseconds, getStoreEra = () => undefined } = options;
        const maximumJitterMilliseconds = timeToLiveMilliseconds / retriesPerTimeToLive;
        this.observed = ObservedLease.create({ random, maximumJitterMilliseconds });
        this.era = LeaseEra.create(getStoreEra);
    }

    /** Creates the state of a lease that was not read yet. */
    static create(options: LeaseStateOptions): LeaseState {
        return new LeaseState(options);
    }

    /** Gets the fencing number if the lease is held; undefined otherwise. */
    getFencingNumber(monotonicTime: number): number | undefined {
        return this.isValid(this.held, monotonicTime) ? this.held.record.fencingNumber : undefined;
    }

    /**
     * Gets the fencing number of this process as the last known holder, even after the lease has expired; undefined once another
     * holder is known. It does not prove that the lease is held: orders with it are only safe at endpoints that check it.
     */
    getLastNumber(): number | undefined {
        const record = this.observed.getRecord();
        if (record?.holder === this.options.holder && !record.isReleased) {
            return record.fencingNumber;
        }
        return this.releasedFencingNumber > 0 && this.releasedFencingNumber === this.observed.getHighestFencingNumber()
            ? this.releasedFencingNumber
            : undefined;
    }

    /**
     * Checks if this process has written the last known record and not released the lease, which may have expired. The holder's name
     * isn't enough, since an earlier process may have had the same one.
     */
    isLastHolder(): boolean {
        return this.observed.isOwn();
    }

    /** Neither acquires nor renews the lease until {@link resume}. */
    suspend(): void {
        this.isWanted = false;
    }

    /** Acquires and renews the lease again. */
    resume(time: EventTime): LeaseOutput {
        // The lease was not renewed on purpose, so that its end is no loss.
        if (!this.isWanted && !this.isValid(this.held, time.monotonic)) {
            this.held = undefined;
        }
        this.isWanted = true;
        return this.step(time);
    }

    /** Requests a read of the record if it was never seen. */
    readIfUnknown(time: EventTime): LeaseOutput {
        return this.observed.getRevision() === undefined ? this.read(time) : { logs: [] };
    }

    /** Requests a read of the record. */
    read(time: EventTime): LeaseOutput {
        if (this.isCalling || time.monotonic < this.retryAt) {
            return { logs: [] };
        }
        this.isCalling = true;
        return { call: { kind: "read" }, logs: [] };
    }

    /** Continues at the wake-up time of the last output. */
    wake(time: EventTime): LeaseOutput {
        return this.step(time);
    }

    /** Releases the lease, also if it has expired. The call in the output is sent once for a record, without retries. */
    release(): LeaseOutput {
        this.held = undefined;
        const expectedRevision = this.observed.getRevision();
        const record = this.observed.getRecord();
        const isDue = this.isLastHolder() && !this.isCalling && expectedRevision !== this.releaseTriedAt;
        if (!isDue || expectedRevision === undefined || record === undefined) {
            return { logs: [] };
        }
        this.releaseTriedAt = expectedRevision;
        const value = JSON.stringify({ ...record, writeId: this.createWriteId(), isReleased: true });
        const logs = [{ event: events.leaseReleased, fields: { fencingNumber: record.fencingNumber } }];
        return { call: { kind: "swap", expectedRevision, value }, logs };
    }

    /** Records that this process released the lease. It stays the last holder until another one is seen. */
    recordOwnRelease(release: LeaseRelease, time: EventTime): void {
        this.releasedFencingNumber = release.fencingNumber;
        this.setReleased(release, time);
    }

    /**
     * Handles a notice that another process released the lease, so that a successor does not wait for a time to live that no
     * longer applies. A false notice is harmless, because acquiring the lease still compares its revision.
     */
    noteRelease(release: LeaseRelease, time: EventTime): LeaseOutput {
        this.observeRelease(release, time);
        return this.step(time);
    }

    /** Handles such a notice without acquiring the lease. A higher number than the held one shows that the lease was lost. */
    observeRelease({ revision, fencingNumber }: LeaseRelease, time: EventTime): void {
        const isNewer = (this.observed.getRevision() ?? -Infinity) < revision;
        const isOfEra = EraRevision.getEra(revision) >= this.era.get();
        const isHeld = this.isValid(this.held, time.monotonic) && this.held.record.fencingNumber >= fencingNumber;
        if (isNewer && isOfEra && !isHeld) {
            this.lose();
            this.setReleased({ revision, fencingNumber }, time);
        }
    }

    private setReleased({ revision, fencingNumber }: LeaseRelease, time: EventTime): void {
        const { timeToLiveMilliseconds, longestOrderMilliseconds } = this.options;
        const record: LeaseRecord = {
            holder: "",
            fencingNumber,
            writeId: "",
            isReleased: true,
            timeToLiveMilliseconds,
            longestOrderMilliseconds,
            expiresHint: time.wall,
        };
        this.observed.set(revision, record, time.monotonic);
    }

    /** Handles the result of a read. */
    finishRead(result: Result<StoredValue | undefined, PlatformError>, time: EventTime): LeaseOutput {
        this.isCalling = false;
        if (result.err) {
            this.retryLater(result.val.message, time);
        }
        else {
            this.observe(result.val, time);
        }
        return this.step(time);
    }

    /** Handles the result of a write. */
    finishSwap(result: Result<SwapOutcome, PlatformError>, time: EventTime): LeaseOutput {
        const sent = this.sent;
        this.isCalling = false;
        this.sent = undefined;
        if (result.err) {
            if (sent !== undefined && result.val.kind === PlatformErrorKind.OutcomeUnknown) {
                this.observed.addUndetermined(sent);
            }
            this.retryLater(result.val.message, time);
        }
        else if (result.val.swapped && sent !== undefined) {
            this.adopt(sent, result.val.revision ?? 0, time);
        }
        else {
            const { current } = result.val;
            if (current !== undefined && current.revision === this.observed.getRevision()) {
                this.retryLater("The store refused a write that expects the revision that it names itself.", time);
            }
            this.observe(current, time);
        }
        return this.step(time);
    }

    /** Applies the value of the key: an own write with a lost response, or the record of another process. */
    private observe(stored: StoredValue | undefined, time: EventTime): void {
        const parsed = stored === undefined ? undefined : parseLeaseRecord(stored.value);
        if (parsed?.err) {
            this.lose();
            this.retryLater(parsed.val, time);
            return;
        }
        const record = parsed?.val;
        const own = record === undefined ? undefined : this.observed.findUndetermined(record);
        if (stored !== undefined && own !== undefined) {
            this.adopt(own, stored.revision, time);
            return;
        }
        this.lose();
        this.observed.set(stored?.revision ?? 0, record, time.monotonic);
    }

    /** Applies an own write that has succeeded. */
    private adopt(write: LeaseWrite, revision: number, time: EventTime): void {
        const isNew = this.held?.record.fencingNumber !== write.record.fencingNumber;
        this.observed.adopt(revision, write.record, time.monotonic);
        if (!this.isValid(write, time.monotonic)) {
            this.lose();
            return;
        }
        this.held = write;
        if (isNew) {
            this.log(events.leaseAcquired, { fencingNumber: write.record.fencingNumber });
        }
    }

    private lose(): void {
        if (this.held !== undefined) {
            this.log(events.leaseLost, { fencingNumber: this.held.record.fencingNumber });
        }
        this.held = undefined;
    }

    /**
     * Forgets all that was known of the store before it was restored from an older snapshot. The record may be lost together with the number,
     * and another process may acquire the lease. A process that did not hold it waits until the earlier holder's time to live is over.
     */
    private checkEra({ monotonic }: EventTime): void {
        if (!this.era.update()) {
            return;
        }
        if (!this.isValid(this.held, monotonic)) {
            const { timeToLiveMilliseconds, longestOrderMilliseconds } = this.options;
            this.blockedUntil = monotonic + getSuccessorWait(timeToLiveMilliseconds, longestOrderMilliseconds);
        }
        this.lose();
        this.observed.clear();
        this.sent = undefined;
    }

    private step(time: EventTime): LeaseOutput {
        this.checkEra(time);
        if (!this.isValid(this.held, time.monotonic)) {
            this.lose();
        }
        const isDue = this.isWanted && !this.isCalling && time.monotonic >= this.getCallTime();
        const call = isDue ? this.createCall(time) : undefined;
        const output: LeaseOutput = { call, wakeAt: this.getWakeTime(), logs: this.logs };
        this.logs = [];
        return output;
    }

    private createCall(time: EventTime): LeaseOutput["call"] {
        this.isCalling = true;
        const expectedRevision = this.observed.getRevision();
        if (expectedRevision === undefined) {
            return { kind: "read" };
        }
        const { timeToLiveMilliseconds, longestOrderMilliseconds, holder } = this.options;
        const record: LeaseRecord = {
            holder,
            fencingNumber: this.held?.record.fencingNumber
                ?? this.era.getNextFencingNumber(this.observed.getHighestFencingNumber()),
            writeId: this.createWriteId(),
            isReleased: false,
            timeToLiveMilliseconds,
            longestOrderMilliseconds,
            expiresHint: time.wall + timeToLiveMilliseconds,
        };
        this.sent = { record, sentAt: time.monotonic };
        return { kind: "swap", expectedRevision, value: JSON.stringify(record) };
    }

    private getCallTime(): number {
        if (this.held !== undefined) {
            const { timeToLiveMilliseconds } = this.options;
            return Math.max(this.retryAt, this.held.sentAt + timeToLiveMilliseconds / renewalsPerTimeToLive);
        }
        return Math.max(this.retryAt, this.getAcquireTime());
    }

    /** Gets the time at which the lease may be acquired. An unknown lease is read at once. */
    private getAcquireTime(): number {
        const isKnown = this.observed.getRevision() !== undefined;
        return isKnown ? Math.max(this.observed.getEndTime(), this.blockedUntil) : -Infinity;
    }

    private getWakeTime(): number | undefined {
        const endsAt = this.held === undefined ? Infinity : this.held.sentAt + this.options.timeToLiveMilliseconds;
        const wakeAt = Math.min(endsAt, this.isCalling ? Infinity : this.getCallTime());
        return wakeAt === Infinity ? undefined : wakeAt;
    }

    private isValid(write: LeaseWrite | undefined, monotonicTime: number): write is LeaseWrite {
        return write !== undefined && monotonicTime < write.sentAt + this.options.timeToLiveMilliseconds;
    }

    private createWriteId(): string {
        this.writes += 1;
        return `${this.options.holder}-${this.writes}-${this.options.random()}`;
    }

    private retryLater(reason: string, time: EventTime): void {
        this.retryAt = time.monotonic + this.options.timeToLiveMilliseconds / retriesPerTimeToLive;
        this.log(events.leaseCallFailed, { reason });
    }

    private log(event: LogEvent, fields: Record<string, string | number>): void {
        this.logs.push({ event, fields });
    }
}
