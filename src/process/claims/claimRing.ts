import { Err, Ok, type Result } from "../../result.ts";
import { InvariantError } from "../invariantError.ts";
import type { Claim } from "./claim.ts";
import type { ClaimBatch } from "./claimBatch.ts";
import { claimTimes } from "./claimTimes.ts";
import { getIssueTime } from "./getIssueTime.ts";

/** Options of a {@link ClaimRing}. */
export interface ClaimRingOptions {
    /** Number of slots. */
    size: number;
    /** How long a key is valid after its issue time, in milliseconds. */
    windowMilliseconds: number;
}

interface Slot {
    revision: number;
    /** Number of the batch in the slot. */
    number: number;
    /** Latest issue time of the slot's claims; -1 if it has none. */
    latestIssuedAt: number;
    /** Keys of the slot's claims that are still in memory. */
    keys: readonly string[];
}

/** In-memory copy of a shard's ring: the revision of each slot and the claims that have not expired. Does no I/O. */
export class ClaimRing {
    private readonly size: number;
    private readonly retentionMilliseconds: number;
    private readonly slots: (Slot | undefined)[] = [];
    private readonly claims = new Map<string, Claim>();
    private tail = -1;
    /** The claims of all batches up to this number have been dropped from memory. */
    private droppedThrough = -1;
    /** Highest horizon of the batches that were read. */
    private logHorizon = -1;
    /** Latest issue time of the claims that were dropped from memory. */
    private memoryHorizon = -1;

    private constructor(options: ClaimRingOptions) {
        this.size = options.size;
        this.retentionMilliseconds = options.windowMilliseconds + claimTimes.clockMarginMilliseconds;
    }

    /** Creates a ring without any known slots. */
    static create(options: ClaimRingOptions): ClaimRing {
        return new ClaimRing(options);
    }

    /** Gets the claim that holds a key. */
    getClaim(key: string): Claim | undefined {
        return this.claims.get(key);
    }

    /** Gets the number of claims in memory. */
    getClaimCount(): number {
        return this.claims.size;
    }

    /** Gets the batch number of the next append. */
    getNextNumber(): number {
        return this.tail + 1;
    }

    /** Gets the slot of the next append. */
    getNextSlot(): number {
        return this.getNextNumber() % this.size;
    }

    /** Gets the last seen revision of the next append's slot; 0 if the slot was absent. */
    getNextRevision(): number {
        return this.slots[this.getNextSlot()]?.revision ?? 0;
    }

    /** Gets the horizon for the next append, which includes the claims that it overwrites. */
    getNextHorizon(): number {
        return Math.max(this.logHorizon, this.slots[this.getNextSlot()]?.latestIssuedAt ?? -1);
    }

    /** Checks if all claims in the next append's slot have expired. */
    isNextSlotFree(wallTime: number): boolean {
        const slot = this.slots[this.getNextSlot()];
        return slot === undefined || this.isExpired(slot, wallTime);
    }

    /** Checks if a key that is not in memory may belong to a claim that was dropped, or that the next append overwrites. */
    isBelowHorizon(issuedAt: number): boolean {
        return issuedAt <= Math.max(this.memoryHorizon, this.getNextHorizon());
    }

    /**
     * Applies the contents of a slot, unless a newer revision is already known.
     * Returns an error with the reason if the contents are inconsistent; they are not applied then.
     * @param slot - Index of the slot.
     * @param revision - Revision of the slot's key in the store.
     * @param batch - Contents of the slot.
     */
    applyBatch(slot: number, revision: number, batch: ClaimBatch): Result<void, string> {
        const known = this.slots[slot];
        if (known !== undefined && revision <= known.revision) {
            return Ok(undefined);
        }
        if (slot >= this.size || batch.number % this.size !== slot) {
            return Err(
                `Slot ${slot} holds batch ${batch.number}, which does not belong there in a ring of`
                    + ` ${this.size} slots. In the configuration, restore the claims settings that the log was written with.`,
            );
        }
        if (known !== undefined && batch.number <= known.number) {
            return Err(
                `Slot ${slot} went back from batch ${known.number} to batch ${batch.number}.`
                    + " The store has lost writes. Wait until the window has passed before this shard accepts claims again.",
            );
        }
        this.drop(known);
        this.slots[slot] = this.add(revision, batch);
        this.tail = Math.max(this.tail, batch.number);
        this.logHorizon = Math.max(this.logHorizon, batch.horizon);
        return Ok(undefined);
    }

    /**
     * Finds a slot with an older batch than the tail implies, because it was written while the ring was being read.
     * Returns undefined if all batches up to the tail are known.
     */
    findGap(): number | undefined {
        for (let number = Math.max(0, this.tail - this.size + 1); number <= this.tail; number++) {
            if (this.slots[number % this.size]?.number !== number) {
                return number % this.size;
            }
        }
        return undefined;
    }

    /**
     * Drops expired claims from memory. Their keys are refused from then on, even if the wall clock steps back.
     * @param wallTime - Wall-clock time in milliseconds since the Unix epoch.
     */
    dropExpired(wallTime: number): void {
        const oldest = Math.max(0, this.tail - this.size + 1);
        for (let number = Math.max(oldest, this.droppedThrough + 1); number <= this.tail; number++) {
            const slot = this.slots[number % this.size];
            if (slot === undefined || slot.number !== number || !this.isExpired(slot, wallTime)) {
                return;
            }
            this.drop(slot);
            this.memoryHorizon = Math.max(this.memoryHorizon, slot.latestIssuedAt);
            this.droppedThrough = number;
        }
    }

    private isExpired(slot: Slot, wallTime: number): boolean {
        return slot.latestIssuedAt < 0 || wallTime - slot.latestIssuedAt > this.retentionMilliseconds;
    }

    private add(revision: number, batch: ClaimBatch): Slot {
        let latestIssuedAt = -1;
        const keys: string[] = [];
        for (const claim of batch.claims) {
            const earlier = this.claims.get(claim.key);
            if (earlier !== undefined && earlier.claimant !== claim.claimant) {
                throw InvariantError.create(
                    "onceClaimed",
                    `The claim log holds key ${claim.key} for both ${earlier.claimant} and ${claim.claimant}.`,
                );
            }
            latestIssuedAt = Math.max(latestIssuedAt, getIssueTime(claim.key) ?? -1);
            this.claims.set(claim.key, claim);
            keys.push(claim.key);
        }
        return { revision, number: batch.number, latestIssuedAt, keys };
    }

    private drop(slot: Slot | undefined): void {
        for (const key of slot?.keys ?? []) {
            this.claims.delete(key);
        }
        if (slot !== undefined) {
            slot.keys = [];
        }
    }
}
