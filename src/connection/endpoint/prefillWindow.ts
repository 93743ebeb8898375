import type { PendingPass } from "./pendingPass.ts";

/**
 * Limits the number of positions of prefill passes (prompts and rebuilt contexts) that are in flight to one engine, as
 * chunked prefill does inside an engine.
 *
 * When many contexts are rebuilt at once, the first ones can then continue at the next stage while the others run,
 * tokens of other streams wait for a short step instead of a long one, and passes don't exceed their deadlines only
 * because of other passes that this node sent before.
 */
export class PrefillWindow {
    private readonly maximumPositions: number;
    private readonly inFlight = new Set<PendingPass>();
    private queued: PendingPass[] = [];
    private inFlightPositions = 0;

    private constructor(maximumPositions: number) {
        this.maximumPositions = maximumPositions;
    }

    /**
     * @param maximumPositions - Maximum number of positions in flight. A longer pass is sent when no other is in
     * flight.
     */
    static create(maximumPositions: number): PrefillWindow {
        return new PrefillWindow(maximumPositions);
    }

    /**
     * Queues a prefill pass. Rebuilt contexts precede new prompts, because their callers have received part of the
     * answer.
     */
    add(pendingPass: PendingPass): void {
        const firstPrompt = pendingPass.pass.rebuild === true
            ? this.queued.findIndex(other => other.pass.rebuild !== true)
            : -1;
        this.queued.splice(firstPrompt < 0 ? this.queued.length : firstPrompt, 0, pendingPass);
    }

    /** Removes and returns the queued passes that may be sent now, in order. */
    takeReady(): PendingPass[] {
        const ready: PendingPass[] = [];
        for (const pendingPass of this.queued) {
            const fitsInWindow = this.inFlightPositions + pendingPass.positions <= this.maximumPositions;
            if (!fitsInWindow && this.inFlight.size > 0) {
                break;
            }
            ready.push(pendingPass);
            this.inFlight.add(pendingPass);
            this.inFlightPositions += pendingPass.positions;
        }
        this.queued = this.queued.slice(ready.length);
        return ready;
    }

    /** Removes a settled pass, in flight or queued. Does nothing if the window doesn't contain it. */
    remove(pendingPass: PendingPass): void {
        if (this.inFlight.delete(pendingPass)) {
            this.inFlightPositions -= pendingPass.positions;
            return;
        }
        this.queued = this.queued.filter(other => other !== pendingPass);
    }
}
