import { Err, Ok, type Result } from "../../result.ts";
import { InvariantError } from "../invariantError.ts";
import type { Claim } from "./claim.ts";
import type { ClaimBatch } from "./claimBatch.ts";
import { claimTimes } from "./claimTimes.ts";
import { getIssueTime } from "./getIssueTime.ts";

/** Settings of a {@link ClaimRing}. */
export interface ClaimRingOptions {
    /** Number of slots. */
    size: number;
    /** How long a key counts after its issue time, in milliseconds. */
    windowMilliseconds: number;
}

interface Slot {
    revision: number;
    number: number;
    /** Latest issue time of the slot's claims; -1 where it has none. */
    latestIssue: number;
    /** Keys of the slot's claims that are still in memory. */
    keys: readonly string[];
}

/** What this process knows of a shard's ring: each slot's revision, and the claims that count. No I/O. */
export class ClaimRing {
    private readonly size: number;
    private readonly keptMilliseconds: number;
    private readonly slots: (Slot | undefined)[] = [];
    private readonly claims = new Map<string, Claim>();
    private tail = -1;
    /** Highest number whose claims were dropped from memory, with all below. */
    private droppedThrough = -1;
    private logHorizon = -1;
    private memoryHorizon = -1;

    private constructor(options: ClaimRingOptions) {
        this.size = options.size;
        this.keptMilliseconds = options.windowMilliseconds + claimTimes.clockMarginMilliseconds;
    }

    /** Creates a ring of which nothing is known yet. */
    static create(options: ClaimRingOptions): ClaimRing {
        return new ClaimRing(options);
    }

    /** Gets the claim that holds a key. */
    getClaim(key: string): Claim | undefined {
        return this.claims.get(key);
    }

    /** Gets how many claims are in memory. */
    getClaimCount(): number {
        return this.claims.size;
    }

    /** Gets the number of the next append. */
    getNextNumber(): number {
        return this.tail + 1;
    }

    /** Gets the slot of the next append. */
    getNextSlot(): number {
        return this.getNextNumber() % this.size;
    }

    /** Gets the revision that the next append's slot was last seen with; 0 where it was absent. */
    getNextRevision(): number {
        return this.slots[this.getNextSlot()]?.revision ?? 0;
    }

    /** Gets the horizon that the next append has to carry: what it overwrites is included. */
    getNextHorizon(): number {
        return Math.max(this.logHorizon, this.slots[this.getNextSlot()]?.latestIssue ?? -1);
    }

    /** Whether the next append's slot holds no claim that may still count. */
    isNextSlotFree(wallTime: number): boolean {
        const slot = this.slots[this.getNextSlot()];
        return slot === undefined || this.isPast(slot, wallTime);
    }

    /** Whether a key that is not in memory may have been claimed and forgotten, or would be by the next append. */
    isForgotten(issuedAt: number): boolean {
        return issuedAt <= Math.max(this.memoryHorizon, this.getNextHorizon());
    }

    /**
     * Takes in what stands in a slot; older content than known is ignored.
     * The error says why the content does not fit; it is not taken in.
     * @param slot - Index of the slot.
     * @param revision - Revision of the slot's key.
     * @param batch - Content of the slot.
     */
    learn(slot: number, revision: number, batch: ClaimBatch): Result<void, string> {
        const known = this.slots[slot];
        if (known !== undefined && revision <= known.revision) {
            return Ok(undefined);
        }
        if (slot >= this.size || batch.number % this.size !== slot) {
            return Err(
                `The slot ${slot} holds number ${batch.number}, which does not belong there in a ring of`
                    + ` ${this.size}. Set the configuration's claims back to the numbers that the log was written with.`,
            );
        }
        if (known !== undefined && batch.number <= known.number) {
            return Err(
                `The slot ${slot} went back from number ${known.number} to ${batch.number}.`
                    + " The service has lost writes; wait for the window before taking claims for this shard again.",
            );
        }
        this.drop(known);
        this.slots[slot] = this.add(revision, batch);
        this.tail = Math.max(this.tail, batch.number);
        this.logHorizon = Math.max(this.logHorizon, batch.horizon);
        return Ok(undefined);
    }

    /**
     * Finds a slot whose content is older than the tail says: an append that happened during the reading
     * was missed. Undefined where all numbers up to the tail are known.
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
     * Drops the claims that are past the window from memory. Their keys are refused from then on, also
     * where the wall clock steps back.
     * @param wallTime - Wall-clock time in milliseconds since the Unix epoch.
     */
    dropPast(wallTime: number): void {
        const oldest = Math.max(0, this.tail - this.size + 1);
        for (let number = Math.max(oldest, this.droppedThrough + 1); number <= this.tail; number++) {
            const slot = this.slots[number % this.size];
            if (slot === undefined || slot.number !== number || !this.isPast(slot, wallTime)) {
                return;
            }
            this.drop(slot);
            this.memoryHorizon = Math.max(this.memoryHorizon, slot.latestIssue);
            this.droppedThrough = number;
        }
    }

    private isPast(slot: Slot, wallTime: number): boolean {
        return slot.latestIssue < 0 || wallTime - slot.latestIssue > this.keptMilliseconds;
    }

    private add(revision: number, batch: ClaimBatch): Slot {
        let latestIssue = -1;
        const keys: string[] = [];
        for (const claim of batch.claims) {
            const earlier = this.claims.get(claim.key);
            if (earlier !== undefined && earlier.claimant !== claim.claimant) {
                throw InvariantError.create(
                    "onceClaimed",
                    `The log holds the key ${claim.key} for ${earlier.claimant} and for ${claim.claimant}.`,
                );
            }
            latestIssue = Math.max(latestIssue, getIssueTime(claim.key) ?? -1);
            this.claims.set(claim.key, claim);
            keys.push(claim.key);
        }
        return { revision, number: batch.number, latestIssue, keys };
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
