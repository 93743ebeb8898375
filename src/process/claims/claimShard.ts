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
import { RingCursor } from "./ringCursor.ts";
import { selectBatchClaims } from "./selectBatchClaims.ts";
import type { ShardOutput } from "./shardOutput.ts";
import { SlotApplier } from "./slotApplier.ts";
import { WaitingClaims } from "./waitingClaims.ts";

/** Delay before a failed call is retried. */
const retryDelayMilliseconds = 100;

/**
 * State machine of one shard of the claim log. It does no I/O and reads no clock: each method handles one event and
 * returns the actions to take.
 *
 * A claim waits until the ring, as read from the store, holds its key. If the stored claimant is the same, the claim is
 * granted, otherwise the key is taken. An append writes the waiting claims to the next slot by compare-and-swap with the
 * slot's last seen revision. The slot's contents after that are applied, regardless of which owner wrote them, so a lost response needs no
 * special handling. An append with an unknown outcome and its retries compare with the same revision, so at most one of
 * them takes effect, however late it arrives.
 */
export class ClaimShard {
    private readonly options: ClaimShardOptions;
    private readonly ring: ClaimRing;
    private readonly cursor: RingCursor;
    private readonly slotApplier: SlotApplier;
    private readonly waiting: WaitingClaims;
    /** Batch of the append in flight. */
    private inFlightBatch: ClaimBatch | undefined;
    /** Claims of earlier appends to the next slot with an unknown outcome, by key. */
    private readonly unconfirmed = new Map<string, Claim>();
    private isCalling = false;
    private isLoadRequested = false;
    private retryAt = -Infinity;
    private appendAt = -Infinity;
    private batchCount = 0;
    private output: ShardOutput = { verdicts: [], logs: [] };

    private constructor(options: ClaimShardOptions) {
        this.options = options;
        this.ring = ClaimRing.create({ size: options.ringSize, windowMilliseconds: options.windowMilliseconds });
        this.cursor = RingCursor.create(this.ring, slot => claimStoreKeys.getSlotKey(options.shard, slot));
        this.slotApplier = SlotApplier.create({
            ring: this.ring,
            cursor: this.cursor,
            ownerId: options.ownerId,
            ringSize: options.ringSize,
            log: (event, fields) => this.log(event, fields),
        });
        this.waiting = WaitingClaims.create({
            decide: (claim, wallTime) => this.decide(claim, wallTime),
            isReady: () => this.isReady(),
            findUnconfirmed: key =>
                this.unconfirmed.get(key) ?? this.inFlightBatch?.claims.find(claim => claim.key === key),
        });
    }

    /** Creates a shard that has not been read yet. */
    static create(options: ClaimShardOptions): ClaimShard {
        return new ClaimShard(options);
    }

    /** Gets the number of claims in memory. */
    getClaimCount(): number {
        return this.ring.getClaimCount();
    }

    /** Checks if the ring has been read up to its tail. */
    isReady(): boolean {
        return this.cursor.getKey() === undefined;
    }

    /** Starts reading the ring before the first claim arrives. */
    load(time: EventTime): ShardOutput {
        this.isLoadRequested = true;
        return this.step(time);
    }

    /** Starts reading from the tail. Until that is done, appends of other owners may be unknown. */
    refresh(time: EventTime): ShardOutput {
        if (this.isReady()) {
            this.cursor.readFromTail();
        }
        return this.load(time);
    }

    /**
     * Adds a claim.
     * @param ticket - Number that identifies the claim in the output.
     * @param claim - Claim to decide.
     * @param time - Time of the event.
     */
    submit(ticket: number, claim: Claim, time: EventTime): ShardOutput {
        this.waiting.add({ ticket, claim, deadline: time.monotonic + this.options.giveUpMilliseconds }, time);
        return this.step(time);
    }

    /** Continues once the `wakeAt` time of the last output has been reached. */
    wake(time: EventTime): ShardOutput {
        return this.step(time);
    }

    /** Handles the result of a read. */
    finishRead(result: Result<StoredPage, PlatformError>, time: EventTime): ShardOutput {
        this.isCalling = false;
        if (result.err) {
            this.scheduleRetry(result.val, time);
            return this.step(time);
        }
        if (!this.slotApplier.applyPage(result.val)) {
            this.retryAt = time.monotonic + retryDelayMilliseconds;
        }
        if (this.isReady()) {
            this.isLoadRequested = false;
            this.log(events.claimShardLoaded, { claims: this.ring.getClaimCount(), next: this.ring.getNextNumber() });
        }
        this.waiting.resolveDecided(time);
        return this.step(time);
    }

    /** Handles the result of an append. */
    finishSwap(result: Result<SwapOutcome, PlatformError>, time: EventTime): ShardOutput {
        const sent = this.inFlightBatch;
        this.isCalling = false;
        this.inFlightBatch = undefined;
        if (result.err) {
            if (sent !== undefined && result.val.kind === PlatformErrorKind.OutcomeUnknown) {
                this.addUnconfirmed(sent);
            }
            this.scheduleRetry(result.val, time);
        }
        else if (sent !== undefined) {
            this.applyAppendOutcome(result.val, sent, time);
        }
        return this.step(time);
    }

    private applyAppendOutcome(outcome: SwapOutcome, sent: ClaimBatch, time: EventTime): void {
        this.slotApplier.applySwapOutcome(outcome, sent);
        if (this.ring.getNextNumber() <= sent.number) {
            this.addUnconfirmed(sent);
            this.retryAt = time.monotonic + retryDelayMilliseconds;
            return;
        }
        this.unconfirmed.clear();
        this.waiting.resolveDecided(time);
    }

    private addUnconfirmed(batch: ClaimBatch): void {
        this.log(events.claimOutcomeUnknown, { number: batch.number, batchId: batch.batchId });
        for (const claim of batch.claims) {
            if (!this.unconfirmed.has(claim.key)) {
                this.unconfirmed.set(claim.key, claim);
            }
        }
    }

    private scheduleRetry(error: PlatformError, time: EventTime): void {
        this.retryAt = time.monotonic + retryDelayMilliseconds;
        this.log(events.claimStoreFailed, { kind: error.kind, reason: error.message });
    }

    private decide(claim: Claim, wallTime: number): ClaimVerdict | undefined {
        const { windowMilliseconds } = this.options;
        return decideClaim(claim, { ring: this.ring, isReady: this.isReady(), wallTime, windowMilliseconds });
    }

    private step(time: EventTime): ShardOutput {
        this.ring.dropExpired(time.wall);
        this.waiting.refuseExpired(time);
        if (!this.isCalling && this.isCallNeeded() && time.monotonic >= this.getCallTime()) {
            this.startCall(time);
        }
        const output = { ...this.output, verdicts: this.waiting.takeVerdicts(), wakeAt: this.getWakeTime() };
        this.output = { verdicts: [], logs: [] };
        return output;
    }

    private startCall(time: EventTime): void {
        const fromKey = this.cursor.getKey();
        if (fromKey === undefined) {
            this.append(time);
            return;
        }
        const { shard, pageSize } = this.options;
        this.isCalling = true;
        this.output.call = { kind: "read", prefix: claimStoreKeys.getPrefix(shard), fromKey, limit: pageSize };
    }

    private append(time: EventTime): void {
        this.waiting.resolveDecided(time);
        if (!this.ring.isNextSlotFree(time.wall)) {
            this.log(events.claimShardFull, { waiting: this.waiting.getEntries().length });
            this.waiting.refuseAll(
                "The claim log has no free slot. Increase its append interval or try again later.",
                time,
            );
        }
        if (this.waiting.getEntries().length === 0) {
            return;
        }
        this.batchCount += 1;
        this.inFlightBatch = {
            number: this.ring.getNextNumber(),
            batchId: `${this.options.ownerId}-${this.batchCount}`,
            writtenAt: time.wall,
            horizon: this.ring.getNextHorizon(),
            claims: selectBatchClaims(this.waiting.getEntries()),
        };
        this.appendAt = time.monotonic + this.options.appendIntervalMilliseconds;
        this.isCalling = true;
        this.output.call = {
            kind: "swap",
            key: claimStoreKeys.getSlotKey(this.options.shard, this.ring.getNextSlot()),
            expectedRevision: this.ring.getNextRevision(),
            value: JSON.stringify(this.inFlightBatch),
        };
    }

    private isCallNeeded(): boolean {
        return this.waiting.getEntries().length > 0 || (this.isLoadRequested && !this.isReady());
    }

    private getCallTime(): number {
        return this.isReady() ? Math.max(this.retryAt, this.appendAt) : this.retryAt;
    }

    private getWakeTime(): number | undefined {
        const deadline = this.waiting.getEntries()[0]?.deadline ?? Infinity;
        const callTime = !this.isCalling && this.isCallNeeded() ? this.getCallTime() : Infinity;
        const wakeAt = Math.min(deadline, callTime);
        return wakeAt === Infinity ? undefined : wakeAt;
    }

    private log(event: LogEvent, fields: Record<string, string | number>): void {
        this.output.logs.push({ event, fields: { shard: this.options.shard, ...fields } });
    }
}
