import type { ClaimRing } from "./claimRing.ts";

/**
 * Where the reading of a ring stands. A listing is no snapshot: appends of another owner may fall between two
 * pages, so after the first listing the slots that are older than the tail says are read again.
 */
export class RingReading {
    private readonly ring: ClaimRing;
    private readonly getSlotKey: (slot: number) => string;
    private isListed = false;
    private key: string | undefined;
    /** Next number at the last reading from the tail; the reading goes on while it grows. */
    private readThrough = 0;

    private constructor(ring: ClaimRing, getSlotKey: (slot: number) => string) {
        this.ring = ring;
        this.getSlotKey = getSlotKey;
        this.key = getSlotKey(0);
    }

    /**
     * Creates a reading that begins with the first slot.
     * @param ring - Ring that the pages are taken into.
     * @param getSlotKey - Gets the key of a slot.
     */
    static create(ring: ClaimRing, getSlotKey: (slot: number) => string): RingReading {
        return new RingReading(ring, getSlotKey);
    }

    /** Gets the key to read from next; undefined where all numbers up to the tail are known. */
    getKey(): string | undefined {
        return this.key;
    }

    /** Reads on from the tail, after another owner has appended. */
    readFromTail(): void {
        this.readThrough = this.ring.getNextNumber();
        this.key = this.getSlotKey(this.ring.getNextSlot());
    }

    /**
     * Goes on after a page. False where the page did not help: the slot that was to be read is missing.
     * @param nextKey - Key that the listing continues with, where there are more.
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
        if (gap === undefined && wasListed && this.ring.getNextNumber() > this.readThrough) {
            this.readFromTail();
            return true;
        }
        this.key = gap === undefined ? undefined : this.getSlotKey(gap);
        return this.key === undefined || this.key !== readKey;
    }
}
