import type { ClaimRing } from "./claimRing.ts";

/**
 * Where the reading of a ring stands. A listing is no snapshot: appends of another owner may fall between two
 * pages, so after the first listing the slots that are older than the tail says are read again.
 */
export class RingReading {
    private readonly ring: ClaimRing;
    private isListed = false;
    private slot: number | undefined = 0;

    private constructor(ring: ClaimRing) {
        this.ring = ring;
    }

    /** Creates a reading that begins with the first slot. */
    static create(ring: ClaimRing): RingReading {
        return new RingReading(ring);
    }

    /** Gets the slot to read from next; undefined where all numbers up to the tail are known. */
    getSlot(): number | undefined {
        return this.slot;
    }

    /** Reads on from the tail, after another owner has appended. */
    readFromTail(): void {
        this.slot = this.ring.getNextSlot();
    }

    /**
     * Goes on after a page. False where the page did not help: the slot that was to be read is missing.
     * @param nextSlot - Slot that the listing continues with, where there are more.
     */
    finishPage(nextSlot: number | undefined): boolean {
        if (!this.isListed && nextSlot !== undefined) {
            this.slot = nextSlot;
            return true;
        }
        const readSlot = this.isListed ? this.slot : undefined;
        this.isListed = true;
        this.slot = this.ring.findGap();
        return this.slot === undefined || this.slot !== readSlot;
    }
}
