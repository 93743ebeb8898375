import { Err, type Result } from "../../result.ts";
import { events } from "../logging/events.ts";
import type { LogEvent } from "../logging/logEvent.ts";
import type { StoredPage, SwapOutcome } from "../platform/platformStore.ts";
import { applyStoredSlot } from "./applyStoredSlot.ts";
import type { ClaimBatch } from "./claimBatch.ts";
import type { ClaimRing } from "./claimRing.ts";
import type { RingCursor } from "./ringCursor.ts";

const remedy = "Once the window has passed, delete the shard's keys.";

/** Options of a {@link SlotApplier}. */
interface SlotApplierOptions {
    /** Ring that the slots are applied to. */
    ring: ClaimRing;
    /** Cursor that reads the ring. */
    cursor: RingCursor;
    /** Id of this owner, which is part of its batch ids. */
    ownerId: string;
    /** Number of slots in the ring. */
    ringSize: number;
    log(event: LogEvent, fields: Record<string, string | number>): void;
}

/** Applies the stored slots of a shard to its ring and logs inconsistent ones. Does no I/O. */
export class SlotApplier {
    private readonly options: SlotApplierOptions;

    private constructor(options: SlotApplierOptions) {
        this.options = options;
    }

    /** Creates an applier for a ring. */
    static create(options: SlotApplierOptions): SlotApplier {
        return new SlotApplier(options);
    }

    /**
     * Applies the contents of the slot after an append that reached the store. If they are another owner's batch, the
     * ring is read from its tail.
     * @param outcome - Response of the store.
     * @param sent - Batch of the append.
     */
    applySwapOutcome(outcome: SwapOutcome, sent: ClaimBatch): void {
        const { ring, cursor, ownerId, ringSize, log } = this.options;
        const { swapped, revision, current } = outcome;
        if (swapped) {
            this.checkApplied(ring.applyBatch(sent.number % ringSize, revision ?? 0, sent));
            return;
        }
        if (current === undefined) {
            log(events.claimSlotUnreadable, {
                reason: `The key of slot ${sent.number % ringSize} was deleted. ${remedy}`,
            });
            return;
        }
        const isOwn = current.value.includes(ownerId);
        if (this.checkApplied(applyStoredSlot(ring, current)) && !isOwn) {
            log(events.claimRaceLost, { number: sent.number });
            cursor.readFromTail();
        }
    }

    /**
     * Applies a page of slots.
     * @returns Whether reading made progress.
     */
    applyPage(page: StoredPage): boolean {
        const { ring, cursor } = this.options;
        for (const value of page.values) {
            if (!this.checkApplied(applyStoredSlot(ring, value))) {
                return false;
            }
        }
        const hasAdvanced = cursor.finishPage(page.nextKey);
        return hasAdvanced || this.checkApplied(Err(
            `The store has lost the batch expected in ${cursor.getKey()}. ${remedy}`,
        ));
    }

    private checkApplied(result: Result<void, string>): boolean {
        if (result.err) {
            this.options.log(events.claimSlotUnreadable, { reason: result.val });
        }
        return result.ok;
    }
}
