import type { Result } from "../../result.ts";
import type { EventTime } from "../eventTime.ts";
import { events } from "../logging/events.ts";
import type { LogEvent } from "../logging/logEvent.ts";
import { type PlatformError, PlatformErrorKind } from "../platform/platformError.ts";
import type { StoredValue, SwapOutcome } from "../platform/platformStore.ts";
import type { RandomSource } from "../randomSource.ts";
import type { LeaseOutput } from "./leaseOutput.ts";
import type { LeaseRecord } from "./leaseRecord.ts";
import type { LeaseRelease } from "./leaseRelease.ts";
import { parseLeaseRecord } from "./parseLeaseRecord.ts";

/** Settings of a {@link LeaseState}. */
interface LeaseStateOptions {
    random: RandomSource;
    /** Name of this process as a holder. */
    holder: string;
    /** How long the lease lasts without a renewal, in milliseconds. */
    timeToLiveMilliseconds: number;
    /** Longest time that an order is on its way or being carried out, in milliseconds. */
    longestOrderMilliseconds: number;
}

interface Observation {
    /** 0 where the key is absent. */
    revision: number;
    record: LeaseRecord | undefined;
    firstSeenAt: number;
}

interface Write {
    record: LeaseRecord;
    sentAt: number;
}

/** A successor waits this much longer, since clocks run at different speeds. */
const driftFactor = 1.01;
const renewalsPerTimeToLive = 3;
const retriesPerTimeToLive = 10;

/**
 * The decisions about one lease, without I/O and clock reads. The holder counts its time from before it sent the
 * write; a successor counts from after it saw the write, and waits for the longest order on top. So the holder's
 * time is over first, without any agreement between clocks but on the speed at which they run.
 */
export class LeaseState {
    private readonly options: LeaseStateOptions;
    private observed: Observation | undefined;
    /** The write under which the lease is held. */
    private held: Write | undefined;
    private sent: Write | undefined;
    /** Writes whose outcome is unknown; all compare with the observed revision. */
    private readonly uncertain = new Map<string, Write>();
    private isCalling = false;
    private isSought = true;
    /** Number of the lease that this process gave up last. */
    private releasedNumber = 0;
    private repeatAt = -Infinity;
    private acquireDelay = 0;
    private highestNumber = 0;
    private writes = 0;
    private logs: LeaseOutput["logs"] = [];

    private constructor(options: LeaseStateOptions) {
        this.options = options;
    }

    /** Creates the state of a lease that has not been read yet. */
    static create(options: LeaseStateOptions): LeaseState {
        return new LeaseState(options);
    }

    /** Gets the fencing number while the lease is held; undefined otherwise. */
    getFencingNumber(monotonicTime: number): number | undefined {
        return this.isValid(this.held, monotonicTime) ? this.held.record.fencingNumber : undefined;
    }

    /**
     * Gets the fencing number under which this process was the last known holder, also after the lease's time; undefined
     * once another holder is known. It proves nothing: only endpoints that check the number make orders under it safe.
     */
    getLastNumber(): number | undefined {
        const record = this.observed?.record;
        if (record?.holder === this.options.holder && !record.isReleased) {
            return record.fencingNumber;
        }
        return this.releasedNumber > 0 && this.releasedNumber === this.highestNumber ? this.releasedNumber : undefined;
    }

    /** Sets whether the lease is to be taken and renewed. */
    setSought(isSought: boolean): void {
        this.isSought = isSought;
    }

    /** Reads the record where it was never seen. */
    look(time: EventTime): LeaseOutput {
        if (this.observed !== undefined || this.isCalling || time.monotonic < this.repeatAt) {
            return { logs: [] };
        }
        this.isCalling = true;
        return { call: { kind: "read" }, logs: [] };
    }

    /** Goes on when the time that the last output named has come. */
    wake(time: EventTime): LeaseOutput {
        return this.step(time);
    }

    /** Gives the lease up. The output's call is sent once, whatever its result. */
    release(time: EventTime): LeaseOutput {
        const { held, observed } = this;
        const isHeld = this.isValid(held, time.monotonic);
        this.held = undefined;
        if (!isHeld || observed === undefined || this.isCalling) {
            return { logs: [] };
        }
        const value = JSON.stringify({ ...held.record, writeId: this.createWriteId(), isReleased: true });
        this.log(events.leaseReleased, { fencingNumber: held.record.fencingNumber });
        return { call: { kind: "swap", expectedRevision: observed.revision, value }, logs: this.logs };
    }

    /** Takes in that the lease was given up by this process, which stays the last holder until another one is seen. */
    noteOwnRelease(release: LeaseRelease, time: EventTime): void {
        this.releasedNumber = release.fencingNumber;
        this.setReleased(release, time);
    }

    /**
     * Takes another's word that the lease was given up, so that a successor need not wait for the end of a time that no longer
     * counts. A false word does no harm: the lease is still taken by comparing its revision.
     */
    noteRelease({ revision, fencingNumber }: LeaseRelease, time: EventTime): LeaseOutput {
        const isNews = this.observed === undefined || this.observed.revision < revision;
        if (isNews && !this.isValid(this.held, time.monotonic)) {
            this.setReleased({ revision, fencingNumber }, time);
        }
        return this.step(time);
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
        this.setObserved(revision, record, time);
    }

    /** Takes the result of a read. */
    finishRead(result: Result<StoredValue | undefined, PlatformError>, time: EventTime): LeaseOutput {
        this.isCalling = false;
        if (result.err) {
            this.repeatLater(result.val.message, time);
        }
        else {
            this.observe(result.val, time);
        }
        return this.step(time);
    }

    /** Takes the result of a write. */
    finishSwap(result: Result<SwapOutcome, PlatformError>, time: EventTime): LeaseOutput {
        const sent = this.sent;
        this.isCalling = false;
        this.sent = undefined;
        if (result.err) {
            if (sent !== undefined && result.val.kind === PlatformErrorKind.OutcomeUnknown) {
                this.uncertain.set(sent.record.writeId, sent);
            }
            this.repeatLater(result.val.message, time);
        }
        else if (result.val.swapped && sent !== undefined) {
            this.adopt(sent, result.val.revision ?? 0, time);
        }
        else {
            this.observe(result.val.current, time);
        }
        return this.step(time);
    }

    /** Takes in what stands under the key: an own write whose answer was lost, or another's. */
    private observe(stored: StoredValue | undefined, time: EventTime): void {
        const parsed = stored === undefined ? undefined : parseLeaseRecord(stored.value);
        if (parsed?.err) {
            this.lose();
            this.repeatLater(parsed.val, time);
            return;
        }
        const record = parsed?.val;
        const own = record === undefined ? undefined : this.uncertain.get(record.writeId);
        if (stored !== undefined && own !== undefined) {
            this.adopt(own, stored.revision, time);
            return;
        }
        this.lose();
        this.setObserved(stored?.revision ?? 0, record, time);
    }

    /** Takes over an own write that has taken effect. */
    private adopt(write: Write, revision: number, time: EventTime): void {
        const isNew = this.held?.record.fencingNumber !== write.record.fencingNumber;
        this.setObserved(revision, write.record, time);
        if (!this.isValid(write, time.monotonic)) {
            this.lose();
            return;
        }
        this.held = write;
        if (isNew) {
            this.log(events.leaseAcquired, { fencingNumber: write.record.fencingNumber });
        }
    }

    private setObserved(revision: number, record: LeaseRecord | undefined, time: EventTime): void {
        this.highestNumber = Math.max(this.highestNumber, record?.fencingNumber ?? 0);
        if (this.observed?.revision === revision) {
            return;
        }
        this.observed = { revision, record, firstSeenAt: time.monotonic };
        this.uncertain.clear();
        this.acquireDelay = this.options.random() * this.options.timeToLiveMilliseconds / retriesPerTimeToLive;
    }

    private lose(): void {
        if (this.held !== undefined) {
            this.log(events.leaseLost, { fencingNumber: this.held.record.fencingNumber });
        }
        this.held = undefined;
    }

    private step(time: EventTime): LeaseOutput {
        if (!this.isValid(this.held, time.monotonic)) {
            this.lose();
        }
        const isDue = this.isSought && !this.isCalling && time.monotonic >= this.getCallTime();
        const call = isDue ? this.createCall(time) : undefined;
        const output: LeaseOutput = { call, wakeAt: this.getWakeTime(), logs: this.logs };
        this.logs = [];
        return output;
    }

    private createCall(time: EventTime): LeaseOutput["call"] {
        this.isCalling = true;
        if (this.observed === undefined) {
            return { kind: "read" };
        }
        const { timeToLiveMilliseconds, longestOrderMilliseconds, holder } = this.options;
        const record: LeaseRecord = {
            holder,
            fencingNumber: this.held?.record.fencingNumber ?? this.highestNumber + 1,
            writeId: this.createWriteId(),
            isReleased: false,
            timeToLiveMilliseconds,
            longestOrderMilliseconds,
            expiresHint: time.wall + timeToLiveMilliseconds,
        };
        this.sent = { record, sentAt: time.monotonic };
        return { kind: "swap", expectedRevision: this.observed.revision, value: JSON.stringify(record) };
    }

    private getCallTime(): number {
        if (this.held !== undefined) {
            const { timeToLiveMilliseconds } = this.options;
            return Math.max(this.repeatAt, this.held.sentAt + timeToLiveMilliseconds / renewalsPerTimeToLive);
        }
        return Math.max(this.repeatAt, this.getFreeTime());
    }

    /** Gets when the lease may be taken: after its time and its longest order, counted from when it was first seen. */
    private getFreeTime(): number {
        const { record, firstSeenAt } = this.observed ?? {};
        if (record === undefined || firstSeenAt === undefined) {
            return -Infinity;
        }
        const timeToLive = record.isReleased ? 0 : record.timeToLiveMilliseconds;
        return firstSeenAt + (timeToLive + record.longestOrderMilliseconds) * driftFactor + this.acquireDelay;
    }

    private getWakeTime(): number | undefined {
        const endsAt = this.held === undefined ? Infinity : this.held.sentAt + this.options.timeToLiveMilliseconds;
        const wakeAt = Math.min(endsAt, this.isCalling ? Infinity : this.getCallTime());
        return wakeAt === Infinity ? undefined : wakeAt;
    }

    private isValid(write: Write | undefined, monotonicTime: number): write is Write {
        return write !== undefined && monotonicTime < write.sentAt + this.options.timeToLiveMilliseconds;
    }

    private createWriteId(): string {
        this.writes += 1;
        return `${this.options.holder}-${this.writes}-${this.options.random()}`;
    }

    private repeatLater(reason: string, time: EventTime): void {
        this.repeatAt = time.monotonic + this.options.timeToLiveMilliseconds / retriesPerTimeToLive;
        this.log(events.leaseCallFailed, { reason });
    }

    private log(event: LogEvent, fields: Record<string, string | number>): void {
        this.logs.push({ event, fields });
    }
}
