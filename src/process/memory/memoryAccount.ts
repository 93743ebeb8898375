import type { Clock } from "../clock.ts";
import type { EventLog } from "../logging/eventLog.ts";
import { events } from "../logging/events.ts";
import { chooseHoldersToRelease } from "./chooseHoldersToRelease.ts";
import type { GarbageCollector } from "./garbageCollector.ts";
import type { MeasuredHolder } from "./measuredHolder.ts";
import type { MemoryHolder } from "./memoryHolder.ts";

/** Options of a {@link MemoryAccount}. */
interface MemoryAccountOptions {
    /** How much the process may hold for others, in bytes. */
    limitBytes: number;
    clock: Pick<Clock, "getMonotonicTime">;
    log: EventLog;
    /** Has garbage collected if there is much of it. */
    collector: Pick<GarbageCollector, "review">;
}

/** Fraction of the limit to which the account is reduced when it is exceeded, so that it is not exceeded again at once. */
const releaseTargetFraction = 0.9;
/** Fraction of the limit that is added after a review before the next one, since a review measures all holders. */
const reviewStepFraction = 0.05;
/** How much is noted between two reviews of the garbage, in bytes. */
const bytesPerGarbageReview = 4 * 1024 * 1024;

/**
 * Account of what a process holds in memory for others: bodies, answers that aren't read, and requests that wait. What is added is noted,
 * which is cheap; all holders are measured only when the sum of the notes reaches the limit.
 */
export class MemoryAccount {
    private readonly options: MemoryAccountOptions;
    private readonly holders = new Set<MemoryHolder>();
    /** At least what is held, unless that grew without a note. */
    private notedBytes = 0;
    private reviewAtBytes: number;
    private bytesSinceGarbageReview = 0;

    private constructor(options: MemoryAccountOptions) {
        this.options = options;
        this.reviewAtBytes = options.limitBytes;
    }

    /** Creates an account without holders. */
    static create(options: MemoryAccountOptions): MemoryAccount {
        return new MemoryAccount(options);
    }

    /** Adds a party for which memory is held. */
    add(holder: MemoryHolder): void {
        this.holders.add(holder);
    }

    /** Removes a party for which nothing is held any more. */
    remove(holder: MemoryHolder): void {
        this.holders.delete(holder);
    }

    /** Notes that more is held. If the limit is exceeded, the holders that have to give way are released at once. */
    note(bytes: number): void {
        this.notedBytes += bytes;
        this.bytesSinceGarbageReview += bytes;
        if (this.bytesSinceGarbageReview >= bytesPerGarbageReview) {
            this.bytesSinceGarbageReview = 0;
            this.options.collector.review();
        }
        if (this.notedBytes >= this.reviewAtBytes) {
            this.review();
        }
    }

    private review(): void {
        const { limitBytes, clock } = this.options;
        // What the holders note while they are released must not start another review.
        this.reviewAtBytes = Infinity;
        const measured = this.measure();
        const heldBytes = sumBytes(measured);
        let releasedBytes = 0;
        if (heldBytes >= limitBytes) {
            const excessBytes = heldBytes - limitBytes * releaseTargetFraction;
            for (const each of chooseHoldersToRelease(measured, excessBytes, clock.getMonotonicTime())) {
                releasedBytes += each.amount.releasableBytes;
                this.release(each, heldBytes);
            }
        }
        this.notedBytes = heldBytes - releasedBytes;
        this.reviewAtBytes = Math.max(limitBytes, this.notedBytes + limitBytes * reviewStepFraction);
    }

    private measure(): MeasuredHolder[] {
        const measured: MeasuredHolder[] = [];
        for (const holder of this.holders) {
            measured.push({ holder, amount: holder.measure() });
        }
        return measured;
    }

    private release({ holder, amount }: MeasuredHolder, heldBytes: number): void {
        const { limitBytes, clock, log } = this.options;
        log.write(events.memoryReleased, {
            bytes: amount.releasableBytes,
            milliseconds: Math.round(clock.getMonotonicTime() - amount.heldSince),
            heldBytes,
            limitBytes,
            holders: this.holders.size,
        });
        holder.release(amount);
    }
}

function sumBytes(measured: readonly MeasuredHolder[]): number {
    let sum = 0;
    for (const { amount } of measured) {
        sum += amount.bytes;
    }
    return sum;
}
