import type { WaitingPass } from "./waitingPass.ts";

/**
 * Bounds the positions of long passes (prompts and rebuilt contexts) that are on their way to one engine, as chunked
 * prefill does inside an engine. When many contexts are rebuilt at once, those that left first go on to the next stage
 * while the others run, the tokens of other streams wait for a short step instead of a long one, and an engine's answer
 * is not late only because of what this node has put before it.
 */
export class PrefillWindow {
    private readonly maximumPositions: number;
    private readonly onItsWay = new Set<WaitingPass>();
    private held: WaitingPass[] = [];
    private positions = 0;

    private constructor(maximumPositions: number) {
        this.maximumPositions = maximumPositions;
    }

    /** @param maximumPositions - Most positions on their way; one longer pass goes alone. */
    static create(maximumPositions: number): PrefillWindow {
        return new PrefillWindow(maximumPositions);
    }

    /** Adds a long pass; rebuilt contexts go before new prompts, because their callers have seen a part of the answer. */
    add(waitingPass: WaitingPass): void {
        const firstPrompt = waitingPass.pass.rebuild === true
            ? this.held.findIndex(other => other.pass.rebuild !== true)
            : -1;
        this.held.splice(firstPrompt < 0 ? this.held.length : firstPrompt, 0, waitingPass);
    }

    /** Takes the passes that may leave now, in order. */
    takeReady(): WaitingPass[] {
        const ready: WaitingPass[] = [];
        for (const waitingPass of this.held) {
            const isFitting = this.positions + waitingPass.positions <= this.maximumPositions;
            if (!isFitting && this.onItsWay.size > 0) {
                break;
            }
            ready.push(waitingPass);
            this.onItsWay.add(waitingPass);
            this.positions += waitingPass.positions;
        }
        this.held = this.held.slice(ready.length);
        return ready;
    }

    /** Removes a pass that is settled; does nothing for one that is not here. */
    remove(waitingPass: WaitingPass): void {
        if (this.onItsWay.delete(waitingPass)) {
            this.positions -= waitingPass.positions;
            return;
        }
        this.held = this.held.filter(other => other !== waitingPass);
    }
}
