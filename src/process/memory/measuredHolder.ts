import type { HeldAmount } from "./heldAmount.ts";
import type { MemoryHolder } from "./memoryHolder.ts";

/** A holder and what is held for it at a moment. */
export interface MeasuredHolder {
    holder: MemoryHolder;
    amount: HeldAmount;
}
