import { Err, type Result } from "../../result.ts";
import { events } from "../logging/events.ts";
import type { LogEvent } from "../logging/logEvent.ts";
import type { StoredPage, SwapOutcome } from "../platform/platformStore.ts";
import type { ClaimBatch } from "./claimBatch.ts";
import type { ClaimRing } from "./claimRing.ts";
import { learnStored } from "./learnStored.ts";
import type { RingReading } from "./ringReading.ts";

const remedy = "Once the window has passed, delete the shard's keys.";

/** Options of a {@link SlotIntake}. */
interface SlotIntakeOptions {
    /** Ring that the slots are taken into. */
    ring: ClaimRing;
    /** Where the reading of the ring stands. */
    reading: RingReading;
    /** Id of this owner, which its batches carry. */
    ownerId: string;
    /** Number of slots of the ring. */
    ringSize: number;
    log(event: LogEvent, fields: Record<string, string | number>): void;
}

/** Takes what the service holds in a shard's slots into the ring, and logs what does not fit. No I/O. */
export class SlotIntake {
    private readonly options: SlotIntakeOptions;

    private constructor(options: SlotIntakeOptions) {
        this.options = options;
    }

    /** Creates the intake of a ring. */
    static create(options: SlotIntakeOptions): SlotIntake {
        return new SlotIntake(options);
    }

    /**
     * Takes in what stands in the slot after an append that reached the service. Where another owner's batch stands
     * there, the ring is read on from its tail.
     * @param outcome - Answer of the service.
     * @param sent - Batch that was to be appended.
     */
    learnSwap(outcome: SwapOutcome, sent: ClaimBatch): void {
        const { ring, reading, ownerId, ringSize, log } = this.options;
        const { swapped, revision, current } = outcome;
        if (swapped) {
            this.check(ring.learn(sent.number % ringSize, revision ?? 0, sent));
            return;
        }
        if (current === undefined) {
            log(events.claimSlotUnreadable, {
                reason: `The key of slot ${sent.number % ringSize} was deleted. ${remedy}`,
            });
            return;
        }
        const isOwn = current.value.includes(ownerId);
        if (this.check(learnStored(ring, current)) && !isOwn) {
            log(events.claimRaceLost, { number: sent.number });
            reading.readFromTail();
        }
    }

    /**
     * Takes in a page of slots.
     * @returns Whether the reading got on.
     */
    learnPage(page: StoredPage): boolean {
        const { ring, reading } = this.options;
        for (const value of page.values) {
            if (!this.check(learnStored(ring, value))) {
                return false;
            }
        }
        const hasHelped = reading.finishPage(page.nextKey);
        return hasHelped || this.check(Err(
            `The service has lost the number due in ${reading.getKey()}. ${remedy}`,
        ));
    }

    private check(learned: Result<void, string>): boolean {
        if (learned.err) {
            this.options.log(events.claimSlotUnreadable, { reason: learned.val });
        }
        return learned.ok;
    }
}
