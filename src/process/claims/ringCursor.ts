import type { ClaimRing } from "./claimRing.ts";

/**
 * Cursor for reading a ring page by page. A listing is not a snapshot: another owner may append between two pages, so
 * after the first listing, slots with an older batch than the tail implies are read again.
 */
export class RingCursor {
    private readonly ring: ClaimRing;
    private readonly getSlotKey: (slot: number) => string;
    private isListed = false;
    private key: string | undefined;
    /** Next batch number when the last read from the tail started. Reading continues until it stops increasing. */
    private lastNextNumber = 0;

    private constructor(ring: ClaimRing, getSlotKey: (slot: number) => string) {
        this.ring = ring;
        this.getSlotKey = getSlotKey;
        this.key = getSlotKey(0);
    }

    /**
     * Creates a cursor at the first slot.
     * @param ring - Ring that the pages are applied to.
     * @param getSlotKey - Gets the key of a slot.
     */
    static create(ring: ClaimRing, getSlotKey: (slot: number) => string): RingCursor {
        return new RingCursor(ring, getSlotKey);
    }

    /** Gets the key to read from next, or undefined if all batches up to the tail are known. */
    getKey(): string | undefined {
        return this.key;
    }

    /** Moves the cursor to the tail to read the appends of other owners. */
    readFromTail(): void {
        this.lastNextNumber = this.ring.getNextNumber();
        this.key = this.getSlotKey(this.ring.getNextSlot());
    }

    /**
     * Advances after a page. Returns false if there was no progress because the requested slot is missing.
     * @param nextKey - First key of the next page, if there is one.
     */
    finishPage(nextKey: string | undefined): boolean {
        if (!this.isListed && nextKey !== undefined) {
            this.key = nextKey;
            return true;
        }
        const readKey = this.isListed ? this.key : undefined;
        const gap = this.ring.findGap();
        const wasListed = this.isListed;
        this.isListed = true;
        if (gap === undefined && wasListed && this.ring.getNextNumber() > this.lastNextNumber) {
            this.readFromTail();
            return true;
        }
        this.key = gap === undefined ? undefined : this.getSlotKey(gap);
        return this.key === undefined || this.key !== readKey;
    }
}
