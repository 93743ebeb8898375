import type { Result } from "../../result.ts";
import type { EventTime } from "../eventTime.ts";
import { events } from "../logging/events.ts";
import type { LogEvent } from "../logging/logEvent.ts";
import { type PlatformError, PlatformErrorKind } from "../platform/platformError.ts";
import type { StoredPage, SwapOutcome } from "../platform/platformStore.ts";
import type { Claim } from "./claim.ts";
import type { ClaimBatch } from "./claimBatch.ts";
import { ClaimRing } from "./claimRing.ts";
import type { ClaimShardOptions } from "./claimShardOptions.ts";
import { claimStoreKeys } from "./claimStoreKeys.ts";
import type { ClaimVerdict } from "./claimVerdict.ts";
import { decideClaim } from "./decideClaim.ts";
import { RingReading } from "./ringReading.ts";
import type { ShardOutput } from "./shardOutput.ts";
import { SlotIntake } from "./slotIntake.ts";
import { takeBatchClaims } from "./takeBatchClaims.ts";
import { WaitingClaims } from "./waitingClaims.ts";

/** Wait before a failed call is repeated, in milliseconds. */
const retryMilliseconds = 100;

/**
 * The decisions about one shard of the claim log, without I/O and clock reads: each method is one event and
 * returns what to do. A claim waits until the ring, as read from the service, holds its key: for the same
 * claimant it is granted then, for another taken. An append writes the waiting claims to the next slot, if the
 * slot still has the revision that was last seen there. Whatever then stands in the slot is taken in, whoever
 * wrote it; so a lost answer needs no rule of its own. Appends whose outcome is unknown compare with the same
 * revision as their repetition: at most one of them ever takes effect, however late they arrive.
 */
export class ClaimShard {
    private readonly options: ClaimShardOptions;
    private readonly ring: ClaimRing;
    private readonly reading: RingReading;
    private readonly intake: SlotIntake;
    private readonly waiting: WaitingClaims;
    /** The append that is under way. */
    private sent: ClaimBatch | undefined;
    /** Claims of earlier appends to the next slot whose outcome is unknown, by key. */
    private readonly uncertain = new Map<string, Claim>();
    private isCalling = false;
    private isLoadWanted = false;
    private repeatAt = -Infinity;
    private appendAt = -Infinity;
    private batches = 0;
    private output: ShardOutput = { verdicts: [], logs: [] };

    private constructor(options: ClaimShardOptions) {
        this.options = options;
        this.ring = ClaimRing.create({ size: options.ringSize, windowMilliseconds: options.windowMilliseconds });
        this.reading = RingReading.create(this.ring, slot => claimStoreKeys.getSlotKey(options.shard, slot));
        this.intake = SlotIntake.create({
            ring: this.ring,
            reading: this.reading,
            ownerId: options.ownerId,
            ringSize: options.ringSize,
            log: (event, fields) => this.log(event, fields),
        });
        this.waiting = WaitingClaims.create({
            decide: (claim, wallTime) => this.decide(claim, wallTime),
            isReady: () => this.isReady(),
            findPossible: key => this.uncertain.get(key) ?? this.sent?.claims.find(claim => claim.key === key),
        });
    }

    /** Creates a shard of which nothing has been read yet. */
    static create(options: ClaimShardOptions): ClaimShard {
        return new ClaimShard(options);
    }

    /** Gets how many claims are in memory. */
    getClaimCount(): number {
        return this.ring.getClaimCount();
    }

    /** Whether the ring has been read up to its tail. */
    isReady(): boolean {
        return this.reading.getKey() === undefined;
    }

    /** Reads the ring before the first claim comes. */
    load(time: EventTime): ShardOutput {
        this.isLoadWanted = true;
        return this.step(time);
    }

    /** Reads on from the tail. Until that is done, what other owners have appended may be unknown here. */
    refresh(time: EventTime): ShardOutput {
        if (this.isReady()) {
            this.reading.readFromTail();
        }
        return this.load(time);
    }

    /**
     * Takes a claim.
     * @param ticket - Number under which the verdict is given.
     * @param claim - Claim to decide.
     * @param time - Time of the event.
     */
    submit(ticket: number, claim: Claim, time: EventTime): ShardOutput {
        this.waiting.add({ ticket, claim, deadline: time.monotonic + this.options.giveUpMilliseconds }, time);
        return this.step(time);
    }

    /** Goes on when the time that the last output named has come. */
    wake(time: EventTime): ShardOutput {
        return this.step(time);
    }

    /** Takes the result of a read. */
    finishRead(result: Result<StoredPage, PlatformError>, time: EventTime): ShardOutput {
        this.isCalling = false;
        if (result.err) {
            this.repeatLater(result.val, time);
            return this.step(time);
        }
        if (!this.intake.learnPage(result.val)) {
            this.repeatAt = time.monotonic + retryMilliseconds;
        }
        if (this.isReady()) {
            this.isLoadWanted = false;
            this.log(events.claimShardLoaded, { claims: this.ring.getClaimCount(), next: this.ring.getNextNumber() });
        }
        this.waiting.answerDecided(time);
        return this.step(time);
    }

    /** Takes the result of an append. */
    finishSwap(result: Result<SwapOutcome, PlatformError>, time: EventTime): ShardOutput {
        const sent = this.sent;
        this.isCalling = false;
        this.sent = undefined;
        if (result.err) {
            if (sent !== undefined && result.val.kind === PlatformErrorKind.OutcomeUnknown) {
                this.keepUncertain(sent);
            }
            this.repeatLater(result.val, time);
        }
        else if (sent !== undefined) {
            this.settleAppend(result.val, sent, time);
        }
        return this.step(time);
    }

    private settleAppend(outcome: SwapOutcome, sent: ClaimBatch, time: EventTime): void {
        this.intake.learnSwap(outcome, sent);
        if (this.ring.getNextNumber() <= sent.number) {
            this.keepUncertain(sent);
            this.repeatAt = time.monotonic + retryMilliseconds;
            return;
        }
        this.uncertain.clear();
        this.waiting.answerDecided(time);
    }

    private keepUncertain(batch: ClaimBatch): void {
        this.log(events.claimOutcomeUnknown, { number: batch.number, batchId: batch.batchId });
        for (const claim of batch.claims) {
            if (!this.uncertain.has(claim.key)) {
                this.uncertain.set(claim.key, claim);
            }
        }
    }

    private repeatLater(error: PlatformError, time: EventTime): void {
        this.repeatAt = time.monotonic + retryMilliseconds;
        this.log(events.claimStoreFailed, { kind: error.kind, reason: error.message });
    }

    private decide(claim: Claim, wallTime: number): ClaimVerdict | undefined {
        const { windowMilliseconds } = this.options;
        return decideClaim(claim, { ring: this.ring, isReady: this.isReady(), wallTime, windowMilliseconds });
    }

    private step(time: EventTime): ShardOutput {
        this.ring.dropPast(time.wall);
        this.waiting.giveUp(time);
        if (!this.isCalling && this.isCallWanted() && time.monotonic >= this.getCallTime()) {
            this.startCall(time);
        }
        const output = { ...this.output, verdicts: this.waiting.takeVerdicts(), wakeAt: this.getWakeTime() };
        this.output = { verdicts: [], logs: [] };
        return output;
    }

    private startCall(time: EventTime): void {
        const fromKey = this.reading.getKey();
        if (fromKey === undefined) {
            this.append(time);
            return;
        }
        const { shard, pageSize } = this.options;
        this.isCalling = true;
        this.output.call = { kind: "read", prefix: claimStoreKeys.getPrefix(shard), fromKey, limit: pageSize };
    }

    private append(time: EventTime): void {
        this.waiting.answerDecided(time);
        if (!this.ring.isNextSlotFree(time.wall)) {
            this.log(events.claimRingFull, { waiting: this.waiting.getEntries().length });
            this.waiting.refuseAll("The claim log has no free slot. Widen its append interval, or try later.", time);
        }
        if (this.waiting.getEntries().length === 0) {
            return;
        }
        this.batches += 1;
        this.sent = {
            number: this.ring.getNextNumber(),
            batchId: `${this.options.ownerId}-${this.batches}`,
            writtenAt: time.wall,
            horizon: this.ring.getNextHorizon(),
            claims: takeBatchClaims(this.waiting.getEntries()),
        };
        this.appendAt = time.monotonic + this.options.appendIntervalMilliseconds;
        this.isCalling = true;
        this.output.call = {
            kind: "swap",
            key: claimStoreKeys.getSlotKey(this.options.shard, this.ring.getNextSlot()),
            expectedRevision: this.ring.getNextRevision(),
            value: JSON.stringify(this.sent),
        };
    }

    private isCallWanted(): boolean {
        return this.waiting.getEntries().length > 0 || (this.isLoadWanted && !this.isReady());
    }

    private getCallTime(): number {
        return this.isReady() ? Math.max(this.repeatAt, this.appendAt) : this.repeatAt;
    }

    private getWakeTime(): number | undefined {
        const deadline = this.waiting.getEntries()[0]?.deadline ?? Infinity;
        const callTime = !this.isCalling && this.isCallWanted() ? this.getCallTime() : Infinity;
        const wakeAt = Math.min(deadline, callTime);
        return wakeAt === Infinity ? undefined : wakeAt;
    }

    private log(event: LogEvent, fields: Record<string, string | number>): void {
        this.output.logs.push({ event, fields: { shard: this.options.shard, ...fields } });
    }
}
