import type { TimerHandle } from "../../process/clock.ts";
import { Err, Ok, type Result } from "../../result.ts";
import type { AdmissionRequest } from "./admissionRequest.ts";
import type { AdmissionTicket } from "./admissionTicket.ts";
import type { QueueEntry } from "./queueEntry.ts";
import type { Refusal } from "./refusal.ts";

/** A request that waits for its admission. It is settled once. */
export class Waiter {
    readonly request: AdmissionRequest;
    /** Monotonic time in milliseconds. */
    readonly arrivedAt: number;
    /** Monotonic time after which the request must not start any more, in milliseconds. */
    readonly latestStart: number;
    /** Place in the queue; set once the waiter is queued. */
    entry: QueueEntry<Waiter> | undefined;
    /** Settles with the ticket or the refusal; never rejects. */
    readonly result: Promise<Result<AdmissionTicket, Refusal>>;
    private resolve!: (result: Result<AdmissionTicket, Refusal>) => void;
    private timer: TimerHandle | undefined;
    private cancel: (() => void) | undefined;

    private constructor(request: AdmissionRequest, arrivedAt: number, latestStart: number) {
        this.request = request;
        this.arrivedAt = arrivedAt;
        this.latestStart = latestStart;
        this.result = new Promise(resolve => {
            this.resolve = resolve;
        });
    }

    /**
     * Creates a waiter whose admission is not decided.
     * @param request - The waiting request.
     * @param arrivedAt - Monotonic time of the arrival, in milliseconds.
     * @param latestStart - Monotonic time after which the request must not start any more, in milliseconds.
     */
    static create(request: AdmissionRequest, arrivedAt: number, latestStart: number): Waiter {
        return new Waiter(request, arrivedAt, latestStart);
    }

    /**
     * Sets what ends the wait early.
     * @param timer - Timer of the latest time to start.
     * @param onAbort - Called when the caller goes away.
     */
    watch(timer: TimerHandle, onAbort: () => void): void {
        this.timer = timer;
        this.cancel = onAbort;
        this.request.signal?.addEventListener("abort", onAbort, { once: true });
    }

    /** Ends the wait with the right to run. */
    admit(ticket: AdmissionTicket): void {
        this.unwatch();
        this.resolve(Ok(ticket));
    }

    /** Ends the wait with a refusal. */
    refuse(refusal: Refusal): void {
        this.unwatch();
        this.resolve(Err(refusal));
    }

    private unwatch(): void {
        this.timer?.cancel();
        if (this.cancel !== undefined) {
            this.request.signal?.removeEventListener("abort", this.cancel);
        }
    }
}
