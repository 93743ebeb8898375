import type { TimerHandle } from "../../process/clock.ts";
import { Err, Ok, type Result } from "../../result.ts";
import type { AdmissionRequest } from "./admissionRequest.ts";
import type { AdmissionTicket } from "./admissionTicket.ts";
import type { QueueEntry } from "./queueEntry.ts";
import type { Refusal } from "./refusal.ts";

/** A request that waits for its admission, which settles once. */
export class Waiter {
    readonly request: AdmissionRequest;
    /** Monotonic time in milliseconds. */
    readonly arrivedAt: number;
    /** Monotonic time after which the request must not start, in milliseconds. */
    readonly latestStart: number;
    /** Entry in the queue; set when the waiter is enqueued. */
    entry: QueueEntry<Waiter> | undefined;
    /** Resolves to the ticket or the refusal; never rejects. */
    readonly result: Promise<Result<AdmissionTicket, Refusal>>;
    private resolve!: (result: Result<AdmissionTicket, Refusal>) => void;
    private timer: TimerHandle | undefined;
    private onAbort: (() => void) | undefined;

    private constructor(request: AdmissionRequest, arrivedAt: number, latestStart: number) {
        this.request = request;
        this.arrivedAt = arrivedAt;
        this.latestStart = latestStart;
        this.result = new Promise(resolve => {
            this.resolve = resolve;
        });
    }

    /**
     * Creates a waiter that has not been admitted or refused.
     * @param request - The waiting request.
     * @param arrivedAt - Monotonic time of the arrival, in milliseconds.
     * @param latestStart - Monotonic time after which the request must not start, in milliseconds.
     */
    static create(request: AdmissionRequest, arrivedAt: number, latestStart: number): Waiter {
        return new Waiter(request, arrivedAt, latestStart);
    }

    /**
     * Sets the timer and the abort listener to cancel when the wait ends.
     * @param timer - Timer of the latest start.
     * @param onAbort - Called when the caller disconnects.
     */
    setCancellation(timer: TimerHandle, onAbort: () => void): void {
        this.timer = timer;
        this.onAbort = onAbort;
        this.request.signal?.addEventListener("abort", onAbort, { once: true });
    }

    /** Ends the wait with a ticket. */
    admit(ticket: AdmissionTicket): void {
        this.clearCancellation();
        this.resolve(Ok(ticket));
    }

    /** Ends the wait with a refusal. */
    refuse(refusal: Refusal): void {
        this.clearCancellation();
        this.resolve(Err(refusal));
    }

    private clearCancellation(): void {
        this.timer?.cancel();
        if (this.onAbort !== undefined) {
            this.request.signal?.removeEventListener("abort", this.onAbort);
        }
    }
}
