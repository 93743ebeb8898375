import type { HeldAmount } from "./heldAmount.ts";

/** A party for which a process holds memory. */
export interface MemoryHolder {
    /** Measures what is held at this moment. */
    measure(): HeldAmount;
    /** Lets go of the releasable part. */
    release(amount: HeldAmount): void;
}
